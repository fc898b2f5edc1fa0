#pragma once

// Listening TCP sockets.

#include "base/Address.h"

namespace sycamoreward {

// Returns a non-blocking listening socket with TCP_NODELAY, which the caller
// owns. Throws InternalError when aAddress can't be bound.
int
BindListener(const Address& aAddress);

// The port that a socket is bound to.
std::uint16_t
PortOf(int aFd);

} // namespace sycamoreward
