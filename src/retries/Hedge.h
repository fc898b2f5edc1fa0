#pragma once

// When a second attempt is worth starting: the times to first byte that were
// observed, and the delay taken from their quantile.

#include "base/Clock.h"

#include <array>
#include <optional>

namespace sycamoreward {

// Histogram over times from 100 us on; each bucket is 2^(1/4) times wider than
// the one before. Old observations lose weight.
struct FirstByteTimes
{
  static constexpr std::size_t kBuckets = 96;
  std::array<double, kBuckets> counts_{};
  double total_ = 0;
};

void
ObserveFirstByte(FirstByteTimes& aTimes, Duration aTime);

// Upper border of the bucket that holds quantile aQuantile; empty while there
// are too few observations.
std::optional<Duration>
QuantileOf(const FirstByteTimes& aTimes, double aQuantile);

// Time without a first byte after which a hedge starts: the observed 95th
// percentile, or aTarget while too little was observed. Empty when it is not
// shorter than aDeadline.
std::optional<Duration>
DecideHedgeDelay(const FirstByteTimes& aTimes,
                 Duration aTarget,
                 Duration aDeadline);

} // namespace sycamoreward
