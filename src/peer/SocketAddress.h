#pragma once

// Conversions between Address and the address types of the socket API.

#include "base/Address.h"

#include <sys/socket.h>

namespace sycamoreward {

// Writes aAddress to aStorage and returns the length of the socket address.
socklen_t
FillSocketAddress(const Address& aAddress, sockaddr_storage& aStorage);

// Returns the port to which aSocket is bound.
std::uint16_t
BoundPort(int aSocket);

} // namespace sycamoreward
