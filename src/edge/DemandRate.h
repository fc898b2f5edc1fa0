#pragma once

// Rate per second of an amount that arrives in discrete pieces, as an
// exponentially decaying average over the last seconds.

#include "base/DurationUnits.h"

#include <cmath>

namespace sycamoreward::edge {

struct DemandRate
{
  // Long enough to smooth bursts of arrivals, and short enough to follow
  // traffic waves of some tens of seconds.
  static constexpr Duration kTimeConstant = std::chrono::seconds(4);

  double perSecond_ = 0;
  MonotonicTime at_;

  double Rate(MonotonicTime aNow) const
  {
    return perSecond_ * std::exp(-double((aNow - at_).count()) /
                                 double(kTimeConstant.count()));
  }
};

// Adds an amount that arrived at aNow.
inline void
AddDemand(DemandRate& aRate, double aAmount, MonotonicTime aNow)
{
  constexpr double kTimeConstantSeconds = Seconds(DemandRate::kTimeConstant);
  aRate.perSecond_ = aRate.Rate(aNow) + aAmount / kTimeConstantSeconds;
  aRate.at_ = aNow;
}

} // namespace sycamoreward::edge
