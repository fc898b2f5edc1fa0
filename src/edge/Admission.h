#pragma once

// Admission control: decides whether a request is served or refused
// immediately. It handles bursts that last longer than the queue that the
// objectives allow; a request that waits past its objective would delay all
// requests behind it.

#include "base/Clock.h"

namespace sycamoreward::edge {

struct AdmissionQuery
{
  // Expected time until the answer begins, in milliseconds.
  double waitMs_ = 0;
  // The part of waitMs_ in which the server works on this request itself.
  double ownMs_ = 0;
  // Time since the request was read from the caller.
  Duration elapsed_{ 0 };
  // Time until the deadline, the earlier of the caller's timeout and the
  // route's.
  Duration remaining_{ 0 };
  // Time from the arrival within which the answer has its full value.
  Duration objective_{ 0 };
  // Random number from 0 to 1 that spreads the retries of refused callers.
  double draw_ = 0;
};

struct AdmissionDecision
{
  bool isAccepted_ = false;
  // Reason code for the log and the metrics.
  const char* reason_ = "";
  // Time after which a refused caller may retry.
  Duration retryAfter_{ 0 };
};

// Refuses a request whose answer is expected too late for its objective or its
// remaining time.
AdmissionDecision
DecideAdmission(const AdmissionQuery& aQuery);

} // namespace sycamoreward::edge
