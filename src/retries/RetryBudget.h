#pragma once

// Limits extra attempts (retries or hedges) to a fraction of all requests, so
// that they can't multiply the load of a failing pool.

namespace sycamoreward {

struct RetryBudget
{
  // Number of extra attempts that each request adds to the budget.
  double fraction_ = 0.10;
  // Initial and maximum value of available_. Without a reserve, an instance
  // with little traffic could not retry at all.
  double reserve_ = 10;
  double available_ = 10;
};

// Returns a budget of aFraction extra attempts per request.
RetryBudget
MakeRetryBudget(double aFraction);

// Adds a new request to the budget. Not called for retries or hedges.
void
CountRequest(RetryBudget& aBudget);

// Whether the budget allows another extra attempt.
bool
HasRetry(const RetryBudget& aBudget);

// Consumes one extra attempt. Returns false, without a change, if the budget is
// used up.
bool
TakeRetry(RetryBudget& aBudget);

} // namespace sycamoreward
