#pragma once

// Types and functions shared by the HTTP server and the HTTP client.

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

// Header fields in message order. Names are compared ignoring case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The value of the first field named aName, or an empty string if there is
// none.
std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName);

// Replaces all fields named aName by a single field at the end.
void
SetHeader(HttpHeaders& aHeaders,
          const std::string& aName,
          const std::string& aValue);

// The reason phrase of a status code.
const char*
ReasonPhrase(int aStatus);

} // namespace sycamoreward
