#pragma once

// Rate of an amount that arrives in pieces, averaged over the last seconds.

#include "base/DurationUnits.h"

#include <cmath>

namespace sycamoreward::edge {

struct DemandRate
{
  // Long enough to smooth clumps of arrivals, short enough to follow a wave of
  // the traffic of some tens of seconds.
  static constexpr Duration kTimeConstant = std::chrono::seconds(4);

  double perSecond_ = 0;
  MonotonicTime at_;

  double Rate(MonotonicTime aNow) const
  {
    return perSecond_ * std::exp(-double((aNow - at_).count()) /
                                 double(kTimeConstant.count()));
  }
};

// Enters an amount.
inline void
AddDemand(DemandRate& aRate, double aAmount, MonotonicTime aNow)
{
  constexpr double kTimeConstantSeconds = Seconds(DemandRate::kTimeConstant);
  aRate.perSecond_ = aRate.Rate(aNow) + aAmount / kTimeConstantSeconds;
  aRate.at_ = aNow;
}

} // namespace sycamoreward::edge
