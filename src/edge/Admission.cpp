#include "edge/Admission.h"

#include "base/DurationUnits.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A request is refused when its answer is expected later than this multiple of
// the objective. Estimates are uncertain, and an answer that is a little late
// is worth more than a refusal.
constexpr double kMaxLateness = 1.25;
// Part of the remaining time within which the answer has to begin.
constexpr double kRemainingFraction = 0.8;
// Bounds of the time after which refused callers come back.
constexpr double kMinRetryDelayMs = 250;
constexpr double kMaxRetryDelayMs = 2000;

// The backlog beyond the objective has to drain first; the returns are spread
// over as long again.
Duration
RetryDelay(double aExcessMs, double aDraw)
{
  const double base = std::clamp(aExcessMs, kMinRetryDelayMs, kMaxRetryDelayMs);
  return FromMilliseconds(base * (1 + aDraw));
}

} // namespace

AdmissionDecision
DecideAdmission(const AdmissionQuery& aQuery)
{
  const double queueMs = std::max(0.0, aQuery.waitMs_ - aQuery.ownMs_);
  const double objective = Milliseconds(aQuery.objective_);
  if (aQuery.waitMs_ > Milliseconds(aQuery.remaining_) * kRemainingFraction) {
    return { false, "too_little_time", RetryDelay(queueMs, aQuery.draw_) };
  }
  const double total = aQuery.waitMs_ + Milliseconds(aQuery.elapsed_);
  // A prompt that takes longer than the objective by itself is served while
  // little waits before it, so that large requests are not shut out.
  const double allowed =
    std::max(objective * kMaxLateness, aQuery.ownMs_ + objective * 0.5);
  if (total > allowed) {
    return { false,
             "overloaded",
             RetryDelay(total - objective * 0.5, aQuery.draw_) };
  }
  return { true, "accepted", Duration(0) };
}

} // namespace sycamoreward::edge
