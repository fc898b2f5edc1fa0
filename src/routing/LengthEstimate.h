#pragma once

// Estimates how many tokens a request will produce, and whether it is long
// work.

#include "configuration/Resource.h"
#include "routing/Scheduler.h"

namespace sycamoreward {

// Requests expected to produce more tokens are long work.
constexpr std::uint64_t kLongWorkTokens = 1024;

// Lengths of the answers of one service.
struct LengthHistory
{
  // Moving average in tokens; 0 while nothing was observed.
  double mean_ = 0;
};

void
ObserveLength(LengthHistory& aHistory, Tokens aProduced);

// Tokens that the request is expected to cost a server: answer, and prompt at
// an eighth, since prompts are computed in parallel.
Tokens
EstimateCost(const RequestTraits& aTraits, const LengthHistory& aHistory);

// A service of the long class is always long.
bool
IsLongWork(const Service& aService,
           const RequestTraits& aTraits,
           const LengthHistory& aHistory);

// The estimate of a request that has produced aProduced tokens: doubled while
// it is exceeded, up to aMaxTokens when that is not 0.
Tokens
CorrectEstimate(Tokens aEstimate, Tokens aProduced, Tokens aMaxTokens);

} // namespace sycamoreward
