#include "edge/Admission.h"

#include "base/DurationUnits.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A request is refused when its answer is expected later than this multiple of
// the objective. Estimates are uncertain, and a slightly late answer is worth
// more than a refusal.
constexpr double kMaxLateness = 1.25;
// The answer must be expected to begin within this fraction of the remaining
// time.
constexpr double kRemainingFraction = 0.8;
// Bounds of the retry delay before the random spread.
constexpr double kMinRetryDelayMs = 250;
constexpr double kMaxRetryDelayMs = 2000;

// Delay after which a refused caller should retry. The backlog beyond the
// objective must drain first; the retries are then spread over the same length
// of time.
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
  // A prompt that takes longer than the objective on its own is still served
  // while the queue before it is short, so that large requests are not always
  // refused.
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
