#include "Stats.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <thread>

namespace sycamoreward::load {

void
Samples::Add(const Samples& aOther)
{
  times_.insert(times_.end(), aOther.times_.begin(), aOther.times_.end());
  isSorted_ = false;
}

double
Samples::Percentile(double aPercent)
{
  if (times_.empty()) {
    return 0;
  }
  if (!isSorted_) {
    std::sort(times_.begin(), times_.end());
    isSorted_ = true;
  }
  const double rank = std::ceil(aPercent / 100 * double(times_.size()));
  const std::size_t index = std::size_t(std::max(1.0, rank)) - 1;
  return double(times_[std::min(index, times_.size() - 1)].count()) / 1000;
}

std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      text += row[column];
      text.append(widths[column] - row[column].size() + 2, ' ');
    }
    text.erase(text.find_last_not_of(' ') + 1);
    text += '\n';
  }
  return text;
}

std::string
FormatMilliseconds(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", aValue);
  return text;
}

std::string
DescribeHost()
{
  std::string model = "unknown processor";
  std::ifstream info("/proc/cpuinfo");
  for (std::string line; std::getline(info, line);) {
    if (line.rfind("model name", 0) == 0) {
      model = line.substr(line.find(':') + 2);
      break;
    }
  }
  return "machine: " + model + ", " +
         std::to_string(std::thread::hardware_concurrency()) +
         " processors\nbuild: g++ " + __VERSION__ +
#ifdef __OPTIMIZE__
         ", optimized\n";
#else
         ", not optimized\n";
#endif
}

} // namespace sycamoreward::load
