#pragma once

// Listening TCP sockets.

#include "base/Address.h"

namespace sycamoreward {

// A listening socket, without delay of small writes. Throws InternalError when
// aAddress can't be bound.
int
BindListener(const Address& aAddress);

// The port that a socket is bound to.
std::uint16_t
PortOf(int aFd);

} // namespace sycamoreward
