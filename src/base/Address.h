#pragma once

// IP address and port of a process.

#include <cstdint>
#include <string>

namespace sycamoreward {

struct Address
{
  std::string ip_;
  std::uint16_t port_ = 0;

  friend bool operator==(const Address& aLeft, const Address& aRight)
  {
    return aLeft.ip_ == aRight.ip_ && aLeft.port_ == aRight.port_;
  }
  friend bool operator!=(const Address& aLeft, const Address& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const Address& aLeft, const Address& aRight)
  {
    return aLeft.ip_ != aRight.ip_ ? aLeft.ip_ < aRight.ip_
                                   : aLeft.port_ < aRight.port_;
  }
};

// "IP:PORT", with an IPv6 address in brackets.
std::string
ToString(const Address& aAddress);

// Parses the format written by ToString. Throws UserError when aText is
// malformed, has a host name instead of an IP address, or a port out of range.
Address
ParseAddress(const std::string& aText);

} // namespace sycamoreward
