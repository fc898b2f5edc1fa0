#include "routing/LengthEstimate.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr double kSmoothingFactor = 0.05;
constexpr double kDefaultTokens = 256;
constexpr std::uint64_t kPromptDivisor = 8;

std::uint64_t
EstimateAnswer(const RequestTraits& aTraits, const LengthHistory& aHistory)
{
  const double mean = aHistory.mean_ > 0 ? aHistory.mean_ : kDefaultTokens;
  const auto expected = std::uint64_t(std::max(1.0, mean));
  const std::uint64_t bound = aTraits.maxTokens_.Value();
  return bound == 0 ? expected : std::min(expected, bound);
}

} // namespace

void
ObserveLength(LengthHistory& aHistory, Tokens aProduced)
{
  const double length = double(aProduced.Value());
  aHistory.mean_ =
    aHistory.mean_ == 0
      ? length
      : aHistory.mean_ + kSmoothingFactor * (length - aHistory.mean_);
}

Tokens
EstimateCost(const RequestTraits& aTraits, const LengthHistory& aHistory)
{
  return Tokens(EstimateAnswer(aTraits, aHistory) +
                aTraits.promptTokens_.Value() / kPromptDivisor);
}

bool
IsLongWork(const Service& aService,
           const RequestTraits& aTraits,
           const LengthHistory& aHistory)
{
  return aService.class_.isLong_ ||
         EstimateCost(aTraits, aHistory).Value() > kLongWorkTokens;
}

Tokens
CorrectEstimate(Tokens aEstimate, Tokens aProduced, Tokens aMaxTokens)
{
  std::uint64_t estimate = std::max<std::uint64_t>(1, aEstimate.Value());
  while (estimate < aProduced.Value()) {
    estimate *= 2;
  }
  if (aMaxTokens.Value() != 0) {
    estimate = std::min(estimate, aMaxTokens.Value());
  }
  return Tokens(std::max(estimate, aProduced.Value()));
}

} // namespace sycamoreward
