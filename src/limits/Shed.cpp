#include "limits/Shed.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

} // namespace

Duration
ExpectedWait(std::size_t aAhead, std::size_t aSlots, Duration aServiceTime)
{
  if (aSlots == 0) {
    return Duration::max();
  }
  return Duration(std::int64_t(double(aServiceTime.count()) *
                               double(aAhead + 1) / double(aSlots)));
}

ShedDecision
DecideShed(const ShedInput& aInput)
{
  if (aInput.slots_ == 0) {
    return { Refusal::NoServer, kMinRetryAfter };
  }
  if (aInput.freeSlots_ > 0 && aInput.requestsAhead_ == 0) {
    return {};
  }
  const Duration wait =
    ExpectedWait(aInput.requestsAhead_, aInput.slots_, aInput.serviceTime_);
  if (!aInput.isQueueFull_ && wait <= aInput.deadline_) {
    return {};
  }
  return { aInput.isWorkspaceOverShare_ ? Refusal::WorkspaceOverShare
                                        : Refusal::Overloaded,
           std::clamp(wait, kMinRetryAfter, kMaxRetryAfter) };
}

bool
IsOverShare(std::size_t aInUse,
            std::size_t aTotalInUse,
            unsigned aShare,
            unsigned aTotalShares)
{
  // The only active workspace never exceeds its share.
  return double(aInUse + 1) * std::max(aTotalShares, aShare) >
         double(aTotalInUse + 1) * aShare;
}

bool
ShouldShedLast(std::size_t aWaiting,
               std::size_t aSlots,
               Duration aServiceTime,
               Duration aTimeLeft)
{
  return aSlots > 0 && aWaiting > 0 &&
         ExpectedWait(aWaiting - 1, aSlots, aServiceTime) > aTimeLeft;
}

} // namespace sycamoreward
