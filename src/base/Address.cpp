#include "base/Address.h"

#include "base/Error.h"

#include <arpa/inet.h>

#include <charconv>

namespace sycamoreward {

namespace {

bool
IsIpNumber(const std::string& aText)
{
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(AF_INET, aText.c_str(), buffer) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), buffer) == 1;
}

std::uint16_t
ParsePort(const std::string& aText, const std::string& aAddressText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  auto [rest, error] = std::from_chars(aText.data(), end, port);
  if (error != std::errc() || rest != end) {
    throw UserError("parse address",
                    aAddressText,
                    "The port in \"" + aAddressText +
                      "\" is not a number from 0 to 65535.");
  }
  return port;
}

} // namespace

std::string
ToString(const Address& aAddress)
{
  const bool isV6 = aAddress.ip_.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + aAddress.ip_ + "]" : aAddress.ip_;
  return host + ":" + std::to_string(aAddress.port_);
}

Address
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw UserError("parse address",
                    aText,
                    "The address \"" + aText +
                      "\" has no port; write IP:PORT.");
  }
  std::string ip = aText.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (!IsIpNumber(ip)) {
    throw UserError("parse address",
                    aText,
                    "\"" + ip + "\" in the address \"" + aText +
                      "\" is not an IP number.");
  }
  return Address{ ip, ParsePort(aText.substr(colon + 1), aText) };
}

} // namespace sycamoreward
