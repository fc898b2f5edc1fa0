#pragma once

// Detects servers that are slow relative to the median of their pool. Uses
// latencies observed by this instance, since slow servers also send their
// reports late.

#include "routing/ServerView.h"

#include <vector>

namespace sycamoreward {

// A slow server that was idle for this long is due for a probe request.
constexpr Duration kProbeInterval = std::chrono::seconds(5);

// Time per token, or time to first byte if no tokens were observed. If requests
// are in flight and have made no progress for longer than that, the time since
// the last progress. 0 if unknown.
double
ObservedMicroseconds(const ServerView& aView, MonotonicTime aNow);

// Sets isSlow_ and weight_ of each view. A server is marked slow above
// aSlowFactor times the median, and unmarked at two thirds of that or below.
void
DetectSlow(std::vector<ServerView>& aViews,
           double aSlowFactor,
           MonotonicTime aNow);

// Whether a request should be sent to the server only to measure its speed.
bool
IsProbeDue(const ServerView& aView, MonotonicTime aNow);

} // namespace sycamoreward
