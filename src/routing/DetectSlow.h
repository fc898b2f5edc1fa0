#pragma once

// Finds servers that are slow against the median of their pool, from times that
// this instance observed itself: reports of slow servers come late.

#include "routing/ServerView.h"

#include <vector>

namespace sycamoreward {

// A slow server without a request for this long gets one as a probe.
constexpr Duration kProbeInterval = std::chrono::seconds(5);

// Time per token, or time to first byte where no tokens were seen; the time
// without progress when requests wait and that is longer. 0 when unknown.
double
ObservedMicroseconds(const ServerView& aView, MonotonicTime aNow);

// Sets isSlow_ and weight_ of each view. A server becomes slow above
// aSlowFactor times the median and is restored below two thirds of that.
void
DetectSlow(std::vector<ServerView>& aViews,
           double aSlowFactor,
           MonotonicTime aNow);

// Whether aView should get a request only to learn of its speed.
bool
IsProbeDue(const ServerView& aView, MonotonicTime aNow);

} // namespace sycamoreward
