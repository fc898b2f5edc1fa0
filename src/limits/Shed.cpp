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
DecideShed(const ShedQuestion& aQuestion)
{
  if (aQuestion.slots_ == 0) {
    return { Refusal::NoServer, kMinRetryAfter };
  }
  if (aQuestion.freeSlots_ > 0 && aQuestion.ahead_ == 0) {
    return {};
  }
  const Duration wait =
    ExpectedWait(aQuestion.ahead_, aQuestion.slots_, aQuestion.serviceTime_);
  if (!aQuestion.isQueueFull_ && wait <= aQuestion.deadline_) {
    return {};
  }
  return { aQuestion.isWorkspaceOverShare_ ? Refusal::WorkspaceOverShare
                                           : Refusal::Overloaded,
           std::clamp(wait, kMinRetryAfter, kMaxRetryAfter) };
}

bool
IsOverShare(std::size_t aInUse,
            std::size_t aTotalInUse,
            unsigned aShare,
            unsigned aTotalShares)
{
  // A workspace that is alone can't be above its share.
  return double(aInUse + 1) * std::max(aTotalShares, aShare) >
         double(aTotalInUse + 1) * aShare;
}

std::size_t
CountToShed(std::size_t aWaiting,
            std::size_t aSlots,
            Duration aServiceTime,
            Duration aDeadline)
{
  if (aServiceTime <= Duration(0) || aSlots == 0) {
    return 0;
  }
  const double kept =
    double(aDeadline.count()) * double(aSlots) / double(aServiceTime.count());
  return kept >= double(aWaiting) ? 0 : aWaiting - std::size_t(kept);
}

} // namespace sycamoreward
