#pragma once

// CPU time and memory used by this process.

#include <cstdint>

namespace sycamoreward {

// The resident size is 0 when it can't be read.
struct ProcessUsage
{
  double processorSeconds_ = 0;
  std::uint64_t residentBytes_ = 0;
};

ProcessUsage
ReadProcessUsage();

} // namespace sycamoreward
