#pragma once

// Conversion between durations and numbers, for rate calculations and logs.

#include "base/Clock.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

constexpr double
Milliseconds(Duration aDuration)
{
  return double(aDuration.count()) / 1e3;
}

constexpr double
Seconds(Duration aDuration)
{
  return double(aDuration.count()) / 1e6;
}

constexpr Duration
FromMilliseconds(double aMilliseconds)
{
  return Duration(Duration::rep(aMilliseconds * 1e3));
}

constexpr Duration
FromSeconds(double aSeconds)
{
  return Duration(Duration::rep(aSeconds * 1e6));
}

// Fraction that remains at aAge of a value that decays exponentially with
// aHalfLife. 1 for negative ages.
inline double
DecayFactor(Duration aAge, Duration aHalfLife)
{
  return std::exp2(-double(std::max<Duration::rep>(aAge.count(), 0)) /
                   double(aHalfLife.count()));
}

} // namespace sycamoreward
