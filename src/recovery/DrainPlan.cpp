#include "recovery/DrainPlan.h"

namespace sycamoreward {

DrainStep
NextDrainStep(const DrainState& aState)
{
  if (!aState.isLeaving_) {
    return DrainStep::Serve;
  }
  if (aState.runningRequests_ == 0 && aState.pendingOutcomes_ == 0) {
    return DrainStep::Exit;
  }
  if (aState.remaining_.has_value() && aState.runningRequests_ != 0 &&
      !aState.hasHandedOver_) {
    return DrainStep::HandOver;
  }
  return DrainStep::Wait;
}

} // namespace sycamoreward
