#pragma once

// Numbers of the inner protocol's messages are whole and not negative.

#include <cstdint>

namespace sycamoreward::edge {

// Estimates below zero count as zero.
constexpr std::uint64_t
ToCount(double aValue)
{
  return aValue <= 0 ? 0 : std::uint64_t(aValue);
}

} // namespace sycamoreward::edge
