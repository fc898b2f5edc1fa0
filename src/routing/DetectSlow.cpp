#include "routing/DetectSlow.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Shorter stalls are common during prompt processing.
constexpr Duration kMinStall = std::chrono::milliseconds(500);
constexpr double kRestoreFraction = 2.0 / 3.0;
constexpr double kMinWeight = 0.01;
// With fewer servers the median is no meaningful reference for a single server.
constexpr std::size_t kMinServers = 3;

} // namespace

double
ObservedMicroseconds(const ServerView& aView, MonotonicTime aNow)
{
  const double seen = aView.tokenMicroseconds_ > 0
                        ? aView.tokenMicroseconds_
                        : aView.firstByteMicroseconds_;
  const Duration stall = aNow - aView.lastProgress_;
  if (seen > 0 && aView.inFlight_ > 0 && stall > kMinStall) {
    return std::max(seen, double(stall.count()));
  }
  return seen;
}

void
DetectSlow(std::vector<ServerView>& aViews,
           double aSlowFactor,
           MonotonicTime aNow)
{
  std::vector<double> times;
  for (const ServerView& view : aViews) {
    const double time = ObservedMicroseconds(view, aNow);
    if (time > 0) {
      times.push_back(time);
    }
  }
  if (times.size() < kMinServers) {
    return;
  }
  const auto middle = times.begin() + std::ptrdiff_t((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  const double median = *middle;
  for (ServerView& view : aViews) {
    const double time = ObservedMicroseconds(view, aNow);
    if (time <= 0) {
      continue;
    }
    const double threshold =
      median * aSlowFactor * (view.isSlow_ ? kRestoreFraction : 1);
    view.isSlow_ = time > threshold;
    view.weight_ = std::clamp(median / time, kMinWeight, 1.0);
  }
}

bool
IsProbeDue(const ServerView& aView, MonotonicTime aNow)
{
  return aView.isSlow_ && aView.inFlight_ == 0 &&
         aNow - aView.lastStart_ >= kProbeInterval;
}

} // namespace sycamoreward
