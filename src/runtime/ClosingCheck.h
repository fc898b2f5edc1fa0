#pragma once

// Decides whether an answer that ends with its connection is complete. A server
// that gives up a request before it has read all of it makes its system reset
// the connection, but the end of the answer can arrive before the reset.

#include "base/Clock.h"

#include <cstddef>

namespace sycamoreward {

// How often a connection that the server has closed is looked at.
constexpr Duration kClosingCheckInterval = std::chrono::milliseconds(5);

// What is known of a connection whose server has closed its side.
struct ClosingState
{
  // Size of the body of the request.
  std::size_t requestBytes_ = 0;
  // Whether the connection has failed or was reset.
  bool hasFailed_ = false;
  // Bytes of the request that the server's system has not acknowledged.
  std::size_t unacknowledgedBytes_ = 0;
  // When the server's system was first seen to have the whole request; unset
  // before. Kept by CheckClosing.
  MonotonicTime receivedAt_;
};

enum class ClosingResult
{
  Complete,
  Truncated,
  // Not known yet; to be checked again.
  Pending
};

ClosingResult
CheckClosing(ClosingState& aState, MonotonicTime aNow);

} // namespace sycamoreward
