#pragma once

// Figures of the capacity test: rates for one instance, straight lines through
// them, and their print-out.

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// Totals of one instance since its start.
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

// Means over the instances of one run, for one second where not stated.
struct Sample
{
  double instances_ = 0;
  double servers_ = 0;
  double changes_ = 0;
  double seconds_ = 0;
  // Servers that an instance polls; the mean and the highest.
  double polled_ = 0;
  double maxPolled_ = 0;
  // Percent of a core; the mean and the highest.
  double processor_ = 0;
  double maxProcessor_ = 0;
  double residentMegabytes_ = 0;
  double peerBytes_ = 0;
  double peerMessages_ = 0;
  // Load polls and the instance list.
  double controlBytes_ = 0;
  double storeBytes_ = 0;
  // Of all instances together.
  double tableReads_ = 0;
  double tableWrites_ = 0;
};

Sample
MeanOf(const std::vector<InstanceUse>& aBefore,
       const std::vector<InstanceUse>& aAfter,
       double aSeconds);

// Least-squares line.
struct Line
{
  double slope_ = 0;
  double intercept_ = 0;
  // Largest distance of a point from the line.
  double spread_ = 0;

  double At(double aX) const { return intercept_ + slope_ * aX; }
};

Line
Fit(const std::vector<double>& aX, const std::vector<double>& aY);

// Lines of all figures by name, over what aSize gives.
std::map<std::string, Line>
FitAll(const std::vector<Sample>& aSamples,
       const std::function<double(const Sample&)>& aSize);

void
PrintSample(const Sample& aSample);

// Prints each line with its value at aTarget and the bound, where there is one.
void
PrintLines(const std::string& aSize,
           const std::map<std::string, Line>& aLines,
           double aTarget);

} // namespace sycamoreward
