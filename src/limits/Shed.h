#pragma once

// Load shedding: decides whether a request is queued or refused at once, and
// with which refusal.

#include "base/Clock.h"
#include "routing/Scheduler.h"

namespace sycamoreward {

struct ShedInput
{
  // Slots of the servers that accept new work, and the number of servers with a
  // free slot for this request.
  std::size_t slots_ = 0;
  std::size_t freeSlots_ = 0;
  // Queued requests that would be served before this one.
  std::size_t requestsAhead_ = 0;
  // Mean time that a request holds a slot; 0 if unknown.
  Duration serviceTime_{ 0 };
  // Time left until the request's deadline.
  Duration deadline_{ 0 };
  bool isQueueFull_ = false;
  bool isWorkspaceOverShare_ = false;
};

struct ShedDecision
{
  Refusal refusal_ = Refusal::None;
  Duration retryAfter_{ 0 };
};

// Expected time until a slot is free for a request with aAhead requests queued
// before it. Duration::max() if there are no slots.
Duration
ExpectedWait(std::size_t aAhead, std::size_t aSlots, Duration aServiceTime);

// Decides on a new request. It is refused if there are no slots. It is accepted
// if a slot is free and no request is queued ahead of it; otherwise it is
// refused if the queue is full or the expected wait exceeds the deadline.
ShedDecision
DecideShed(const ShedInput& aInput);

// Whether a workspace, with one more request, uses more slots and queue entries
// than its share among all active workspaces allows.
bool
IsOverShare(std::size_t aInUse,
            std::size_t aTotalInUse,
            unsigned aShare,
            unsigned aTotalShares);

// Whether the last of aWaiting queued requests would start after its deadline
// and should be refused now. After a loss of capacity this is applied from the
// lowest priority up. If there are no slots at all, requests wait until their
// deadlines, since the loss may be short.
bool
ShouldShedLast(std::size_t aWaiting,
               std::size_t aSlots,
               Duration aServiceTime,
               Duration aTimeLeft);

} // namespace sycamoreward
