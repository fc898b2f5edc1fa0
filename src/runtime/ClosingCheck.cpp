#include "runtime/ClosingCheck.h"

namespace sycamoreward {

namespace {

// A larger body may be unread although the server's system has received it.
constexpr std::size_t kMaxReadAtOnceBytes = 64 * 1024;
// Time in which a server that has answered closes the connection, so that its
// system resets it if bytes are unread.
constexpr Duration kUnreadResetTime = std::chrono::milliseconds(100);

} // namespace

ClosingResult
CheckClosing(ClosingState& aState, MonotonicTime aNow)
{
  if (aState.hasFailed_) {
    return ClosingResult::Truncated;
  }
  if (aState.unacknowledgedBytes_ > 0) {
    return ClosingResult::Pending;
  }
  if (aState.receivedAt_ == MonotonicTime()) {
    aState.receivedAt_ = aNow;
  }
  const bool maySettle = aState.requestBytes_ <= kMaxReadAtOnceBytes ||
                         aNow - aState.receivedAt_ >= kUnreadResetTime;
  return maySettle ? ClosingResult::Complete : ClosingResult::Pending;
}

} // namespace sycamoreward
