#pragma once

// Computes and prints the figures of the capacity test: rates per instance and
// straight lines fitted to them.

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// Resource usage totals of one instance since it started.
struct InstanceUse
{
  double processorSeconds_ = 0;
  double residentBytes_ = 0;
  double peerBytes_ = 0;
  double peerMessages_ = 0;
  double controlBytes_ = 0;
  double storeBytes_ = 0;
  double polledServers_ = 0;
};

// Means over the instances of one run; rates are per second unless stated.
struct Sample
{
  double instances_ = 0;
  double servers_ = 0;
  double changes_ = 0;
  double seconds_ = 0;
  // Number of servers that an instance polls: mean and maximum.
  double polled_ = 0;
  double maxPolled_ = 0;
  // Processor use in percent of a core: mean and maximum.
  double processor_ = 0;
  double maxProcessor_ = 0;
  double residentMegabytes_ = 0;
  double peerBytes_ = 0;
  double peerMessages_ = 0;
  // Bytes of load polls and the instance list.
  double controlBytes_ = 0;
  double storeBytes_ = 0;
  // Totals over all instances.
  double tableReads_ = 0;
  double tableWrites_ = 0;
};

Sample
MeanOf(const std::vector<InstanceUse>& aBefore,
       const std::vector<InstanceUse>& aAfter,
       double aSeconds);

// A line fitted by least squares.
struct Line
{
  double slope_ = 0;
  double intercept_ = 0;
  // Maximum distance of a point from the line.
  double spread_ = 0;

  double At(double aX) const { return intercept_ + slope_ * aX; }
};

Line
Fit(const std::vector<double>& aX, const std::vector<double>& aY);

// Fits a line to each figure as a function of aSize. Returns the lines by name.
std::map<std::string, Line>
FitAll(const std::vector<Sample>& aSamples,
       const std::function<double(const Sample&)>& aSize);

void
PrintSample(const Sample& aSample);

// Prints each line with its value at aTarget and its bound, if it has one.
void
PrintLines(const std::string& aSize,
           const std::map<std::string, Line>& aLines,
           double aTarget);

} // namespace sycamoreward
