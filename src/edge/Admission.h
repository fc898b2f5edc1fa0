#pragma once

// Decides whether a request is served or refused at once. Answers bursts that
// last longer than the queue that the objectives allow: a request that waited
// past its objective would delay all that follow it.

#include "base/Clock.h"

namespace sycamoreward::edge {

struct AdmissionQuery
{
  // Expected time until the answer begins, in milliseconds.
  double waitMs_ = 0;
  // Of that, time in which the server works on this request alone.
  double ownMs_ = 0;
  // What the caller has waited since its request was read.
  Duration elapsed_{ 0 };
  // Time until the caller leaves or the route's limit passes.
  Duration remaining_{ 0 };
  Duration objective_{ 0 };
  // Random number from 0 to 1 that spreads the returns.
  double draw_ = 0;
};

struct AdmissionDecision
{
  bool isAccepted_ = false;
  // A word for log and metrics.
  const char* reason_ = "";
  // When a refused caller may come back.
  Duration retryAfter_{ 0 };
};

AdmissionDecision
DecideAdmission(const AdmissionQuery& aQuery);

} // namespace sycamoreward::edge
