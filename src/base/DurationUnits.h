#pragma once

// Durations as numbers, for arithmetic with rates and for logs.

#include "base/Clock.h"

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

} // namespace sycamoreward
