#pragma once

// Estimates the token cost of a request, and whether it counts as long work.

#include "configuration/Resource.h"
#include "routing/Scheduler.h"

namespace sycamoreward {

// A request with a higher estimated cost, or that has produced more tokens, is
// long work.
constexpr std::uint64_t kLongWorkTokens = 1024;

// Observed answer lengths of one service.
struct LengthHistory
{
  // Exponential moving average in tokens; 0 until the first observation.
  double mean_ = 0;
};

// Adds the length of a completed answer to the moving average.
void
ObserveLength(LengthHistory& aHistory, Tokens aProduced);

// Estimated cost of the request at a server, in tokens: the answer, plus the
// prompt at an eighth, since prompt tokens are computed in parallel.
Tokens
EstimateCost(const RequestTraits& aTraits, const LengthHistory& aHistory);

// Whether the request is long work. Always true for a service of a long class.
bool
IsLongWork(const Service& aService,
           const RequestTraits& aTraits,
           const LengthHistory& aHistory);

// Updates the estimate of a request that has produced aProduced tokens: doubles
// it until it is not exceeded, up to aMaxTokens unless that is 0.
Tokens
CorrectEstimate(Tokens aEstimate, Tokens aProduced, Tokens aMaxTokens);

} // namespace sycamoreward
