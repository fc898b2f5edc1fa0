#pragma once

// Values that the HTTP server and the HTTP client share.

#include <string>
#include <utility>
#include <vector>

namespace sycamoreward {

enum class HttpMethod
{
  Get,
  Post,
  Put,
  Delete,
  Head,
  Patch,
  Options
};

const char*
ToString(HttpMethod aMethod);

// Header fields in the order of the message. Names compare without case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The first value of aName, or an empty string when there is none.
std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName);

// Replaces all fields named aName by one.
void
SetHeader(HttpHeaders& aHeaders,
          const std::string& aName,
          const std::string& aValue);

// The reason phrase of a status code.
const char*
ReasonPhrase(int aStatus);

} // namespace sycamoreward
