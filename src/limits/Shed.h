#pragma once

// When a request is refused at once in place of waiting, and with which
// refusal.

#include "base/Clock.h"
#include "routing/Scheduler.h"

namespace sycamoreward {

struct ShedInput
{
  // Slots of the servers that take new work, and those that are free for this
  // request.
  std::size_t slots_ = 0;
  std::size_t freeSlots_ = 0;
  // Requests that would be served first.
  std::size_t requestsAhead_ = 0;
  // Mean time that a request holds a slot; 0 while it is not known.
  Duration serviceTime_{ 0 };
  // Longest wait that leaves the request useful.
  Duration deadline_{ 0 };
  bool isQueueFull_ = false;
  bool isWorkspaceOverShare_ = false;
};

struct ShedDecision
{
  Refusal refusal_ = Refusal::None;
  Duration retryAfter_{ 0 };
};

// Time until a slot is free for a request with aAhead requests before it.
Duration
ExpectedWait(std::size_t aAhead, std::size_t aSlots, Duration aServiceTime);

ShedDecision
DecideShed(const ShedInput& aInput);

// Whether a workspace holds more of the slots and the queue than its share of
// all active workspaces allows, one more request included.
bool
IsOverShare(std::size_t aInUse,
            std::size_t aTotalInUse,
            unsigned aShare,
            unsigned aTotalShares);

// Whether the last of aWaiting requests would start too late, so that it is
// refused at once. Applied from the lowest priority up after a loss of
// capacity. Without any slot the requests wait until their deadline: the loss
// may be short.
bool
ShouldShedLast(std::size_t aWaiting,
               std::size_t aSlots,
               Duration aServiceTime,
               Duration aTimeLeft);

} // namespace sycamoreward
