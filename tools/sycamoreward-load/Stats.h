#pragma once

// Percentiles and tables of measured times.

#include "base/Clock.h"

#include <string>
#include <vector>

namespace sycamoreward::load {

// A set of measured times, sorted when a percentile is read.
class Samples
{
public:
  void Add(Duration aTime) { times_.push_back(aTime); }
  void Add(const Samples& aOther);
  std::size_t Count() const { return times_.size(); }

  // The percentile in milliseconds by the nearest-rank method; 0 without
  // samples.
  double Percentile(double aPercent);

private:
  std::vector<Duration> times_;
  bool isSorted_ = false;
};

// Formats a text table whose columns are as wide as their widest cell.
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

// Formats a number with three digits after the decimal point.
std::string
FormatMilliseconds(double aValue);

// Lines that describe the processors and the build, for the head of a report.
std::string
DescribeHost();

} // namespace sycamoreward::load
