#pragma once

// Bound of extra attempts (retries or hedges) as a part of all requests, so
// that they can't multiply the load of a pool that is already failing.

namespace sycamoreward {

struct RetryBudget
{
  // Extra attempts allowed for each request.
  double fraction_ = 0.10;
  // Extra attempts available before any request was counted, and the most that
  // can be saved up. Without it an instance with little traffic could not retry
  // at all.
  double reserve_ = 10;
  double available_ = 10;
};

RetryBudget
MakeRetryBudget(double aFraction);

// Counts a new request, not an attempt.
void
CountRequest(RetryBudget& aBudget);

// Whether one more extra attempt is allowed.
bool
HasRetry(const RetryBudget& aBudget);

// Takes one. False, with no change, when the budget is used up.
bool
TakeRetry(RetryBudget& aBudget);

} // namespace sycamoreward
