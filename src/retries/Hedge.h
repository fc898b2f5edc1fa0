#pragma once

// Decides when to start a hedge, a second attempt that runs beside the first:
// records times to first byte and derives the delay from a quantile of them.

#include "base/Clock.h"

#include <array>
#include <optional>

namespace sycamoreward {

// Histogram of times to first byte. The first bucket ends at 100 us; the upper
// bound of each further bucket is 2^(1/4) times that of the one before. Old
// observations decay.
struct FirstByteTimes
{
  static constexpr std::size_t kBuckets = 96;
  std::array<double, kBuckets> counts_{};
  double total_ = 0;
};

void
ObserveFirstByte(FirstByteTimes& aTimes, Duration aTime);

// Upper bound of the bucket that contains the given quantile (0 to 1). Empty if
// there are too few observations.
std::optional<Duration>
QuantileOf(const FirstByteTimes& aTimes, double aQuantile);

// Time without a first byte after which a hedge is started: the observed 95th
// percentile, or aTarget while there are too few observations. Empty if it is
// not shorter than aDeadline.
std::optional<Duration>
DecideHedgeDelay(const FirstByteTimes& aTimes,
                 Duration aTarget,
                 Duration aDeadline);

} // namespace sycamoreward
