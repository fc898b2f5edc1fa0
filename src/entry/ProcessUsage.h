#pragma once

// What the process uses of its machine.

#include <cstdint>

namespace sycamoreward {

struct ProcessUsage
{
  double processorSeconds_ = 0;
  std::uint64_t residentBytes_ = 0;
};

ProcessUsage
ReadProcessUsage();

} // namespace sycamoreward
