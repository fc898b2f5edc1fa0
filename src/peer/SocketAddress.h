#pragma once

// Addresses in the form of the socket calls.

#include "base/Address.h"

#include <sys/socket.h>

namespace sycamoreward {

// Fills aStorage and returns the length in use.
socklen_t
FillSocketAddress(const Address& aAddress, sockaddr_storage& aStorage);

// The port that a socket is bound to.
std::uint16_t
BoundPort(int aSocket);

} // namespace sycamoreward
