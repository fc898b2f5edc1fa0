#pragma once

// What the operating system knows of a TCP connection.

#include <cstddef>

namespace sycamoreward {

// Returns the number of sent bytes that the peer's system has not acknowledged;
// 0 if that can't be told.
std::size_t
UnacknowledgedBytes(int aSocket);

// Returns whether an error of the connection, such as a reset, is pending, and
// clears it. After the peer has closed its side, reading does not report it.
bool
TakeSocketError(int aSocket);

} // namespace sycamoreward
