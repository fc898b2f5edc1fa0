#pragma once

// Percentiles and tables of measured times.

#include "base/Clock.h"

#include <string>
#include <vector>

namespace sycamoreward::load {

// Times of one kind. Percentiles sort them first.
class Samples
{
public:
  void Add(Duration aTime) { times_.push_back(aTime); }
  void Add(const Samples& aOther);
  std::size_t Count() const { return times_.size(); }

  // In milliseconds, by nearest rank; 0 without samples.
  double Percentile(double aPercent);

private:
  std::vector<Duration> times_;
  bool isSorted_ = false;
};

// A text table with columns as wide as their widest cell.
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

// With three digits after the point.
std::string
FormatMilliseconds(double aValue);

// Lines that name machine and build.
std::string
DescribeHost();

} // namespace sycamoreward::load
