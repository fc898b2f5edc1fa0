#pragma once

// Conversion of estimates to the non-negative integers used in messages between
// instances.

#include <cstdint>

namespace sycamoreward::edge {

// Rounds down; negative values become zero.
constexpr std::uint64_t
ToCount(double aValue)
{
  return aValue <= 0 ? 0 : std::uint64_t(aValue);
}

} // namespace sycamoreward::edge
