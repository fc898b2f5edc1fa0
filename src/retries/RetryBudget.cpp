#include "retries/RetryBudget.h"

#include <algorithm>

namespace sycamoreward {

RetryBudget
MakeRetryBudget(double aFraction)
{
  RetryBudget budget;
  budget.fraction_ = aFraction;
  // A fraction of 0 disables extra attempts completely, including the reserve.
  if (aFraction <= 0) {
    budget.reserve_ = 0;
    budget.available_ = 0;
  }
  return budget;
}

void
CountRequest(RetryBudget& aBudget)
{
  aBudget.available_ =
    std::min(aBudget.reserve_, aBudget.available_ + aBudget.fraction_);
}

bool
HasRetry(const RetryBudget& aBudget)
{
  return aBudget.available_ >= 1;
}

bool
TakeRetry(RetryBudget& aBudget)
{
  if (!HasRetry(aBudget)) {
    return false;
  }
  aBudget.available_ -= 1;
  return true;
}

} // namespace sycamoreward
