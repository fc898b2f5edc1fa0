#include "performance/CapacityReport.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace sycamoreward {

namespace {

constexpr double kMegabyte = 1024 * 1024;

struct Figure
{
  const char* name_;
  double Sample::*value_;
  // 0 if there is no bound.
  double bound_;
};

const Figure kFigures[] = {
  { "processor %", &Sample::processor_, 2.2 },
  { "highest processor %", &Sample::maxProcessor_, 2.2 },
  { "resident MB", &Sample::residentMegabytes_, 256 },
  { "peer B/s", &Sample::peerBytes_, 0 },
  { "peer messages/s", &Sample::peerMessages_, 0 },
  { "poll and list B/s", &Sample::controlBytes_, 0 },
  { "store B/s", &Sample::storeBytes_, 0 },
  { "table reads/s, all", &Sample::tableReads_, 2000 },
  { "table writes/s, all", &Sample::tableWrites_, 0 },
};

const char* const kAllBytes = "peer, poll and list B/s";
constexpr double kBytesBound = 9000;

} // namespace

Sample
MeanOf(const std::vector<InstanceUse>& aBefore,
       const std::vector<InstanceUse>& aAfter,
       double aSeconds)
{
  Sample sample;
  sample.seconds_ = aSeconds;
  const double count = double(aAfter.size());
  for (std::size_t index = 0; index < aAfter.size(); ++index) {
    const InstanceUse& before = aBefore[index];
    const InstanceUse& after = aAfter[index];
    const auto rate = [&](double InstanceUse::*aValue) {
      return (after.*aValue - before.*aValue) / aSeconds;
    };
    const double processor = 100 * rate(&InstanceUse::processorSeconds_);
    sample.processor_ += processor / count;
    sample.maxProcessor_ = std::max(sample.maxProcessor_, processor);
    sample.residentMegabytes_ += after.residentBytes_ / kMegabyte / count;
    sample.peerBytes_ += rate(&InstanceUse::peerBytes_) / count;
    sample.peerMessages_ += rate(&InstanceUse::peerMessages_) / count;
    sample.controlBytes_ += rate(&InstanceUse::controlBytes_) / count;
    sample.storeBytes_ += rate(&InstanceUse::storeBytes_) / count;
    sample.polled_ += after.polledServers_ / count;
    sample.maxPolled_ = std::max(sample.maxPolled_, after.polledServers_);
  }
  return sample;
}

Line
Fit(const std::vector<double>& aX, const std::vector<double>& aY)
{
  const double count = double(aX.size());
  double meanX = 0;
  double meanY = 0;
  for (std::size_t index = 0; index < aX.size(); ++index) {
    meanX += aX[index] / count;
    meanY += aY[index] / count;
  }
  double covariance = 0;
  double variance = 0;
  for (std::size_t index = 0; index < aX.size(); ++index) {
    covariance += (aX[index] - meanX) * (aY[index] - meanY);
    variance += (aX[index] - meanX) * (aX[index] - meanX);
  }
  Line line;
  line.slope_ = variance == 0 ? 0 : covariance / variance;
  line.intercept_ = meanY - line.slope_ * meanX;
  for (std::size_t index = 0; index < aX.size(); ++index) {
    line.spread_ =
      std::max(line.spread_, std::abs(aY[index] - line.At(aX[index])));
  }
  return line;
}

std::map<std::string, Line>
FitAll(const std::vector<Sample>& aSamples,
       const std::function<double(const Sample&)>& aSize)
{
  std::vector<double> sizes;
  std::vector<double> allBytes;
  for (const Sample& sample : aSamples) {
    sizes.push_back(aSize(sample));
    allBytes.push_back(sample.peerBytes_ + sample.controlBytes_);
  }
  std::map<std::string, Line> lines;
  for (const Figure& figure : kFigures) {
    std::vector<double> values;
    values.reserve(aSamples.size());
    for (const Sample& sample : aSamples) {
      values.push_back(sample.*figure.value_);
    }
    lines[figure.name_] = Fit(sizes, values);
  }
  lines[kAllBytes] = Fit(sizes, allBytes);
  return lines;
}

void
PrintSample(const Sample& aSample)
{
  std::printf(
    "instances %.0f, listed engines %.0f, polled %.1f (highest %.0f): "
    "processor %.2f%% (highest %.2f%%), %.1f MB, peer %.0f B/s in %.1f "
    "messages/s, polls and list %.0f B/s, store %.0f B/s, table %.1f reads/s "
    "%.2f writes/s\n",
    aSample.instances_,
    aSample.servers_,
    aSample.polled_,
    aSample.maxPolled_,
    aSample.processor_,
    aSample.maxProcessor_,
    aSample.residentMegabytes_,
    aSample.peerBytes_,
    aSample.peerMessages_,
    aSample.controlBytes_,
    aSample.storeBytes_,
    aSample.tableReads_,
    aSample.tableWrites_);
  std::fflush(stdout);
}

void
PrintLines(const std::string& aSize,
           const std::map<std::string, Line>& aLines,
           double aTarget)
{
  std::printf("over %s: slope, intercept, spread, at %g, bound\n",
              aSize.c_str(),
              aTarget);
  const auto print = [&](const char* aName, double aBound) {
    const Line& line = aLines.at(aName);
    std::printf("  %-26s %10.4f %10.2f %8.2f %10.2f ",
                aName,
                line.slope_,
                line.intercept_,
                line.spread_,
                line.At(aTarget));
    std::printf(aBound == 0 ? "-\n" : "%g\n", aBound);
  };
  for (const Figure& figure : kFigures) {
    print(figure.name_, figure.bound_);
  }
  print(kAllBytes, kBytesBound);
  std::fflush(stdout);
}

} // namespace sycamoreward
