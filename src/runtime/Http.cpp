#include "runtime/Http.h"

#include <strings.h>

#include <algorithm>

namespace sycamoreward {

namespace {

bool
HasSameName(const std::string& aLeft, const std::string& aRight)
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

} // namespace

const char*
ToString(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return "GET";
    case HttpMethod::Post:
      return "POST";
    case HttpMethod::Put:
      return "PUT";
    case HttpMethod::Delete:
      return "DELETE";
    case HttpMethod::Head:
      return "HEAD";
    case HttpMethod::Patch:
      return "PATCH";
    case HttpMethod::Options:
      return "OPTIONS";
  }
  return "";
}

std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (HasSameName(name, aName)) {
      return value;
    }
  }
  return "";
}

void
SetHeader(HttpHeaders& aHeaders,
          const std::string& aName,
          const std::string& aValue)
{
  aHeaders.erase(std::remove_if(aHeaders.begin(),
                                aHeaders.end(),
                                [&](const auto& aField) {
                                  return HasSameName(aField.first, aName);
                                }),
                 aHeaders.end());
  aHeaders.emplace_back(aName, aValue);
}

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

} // namespace sycamoreward
