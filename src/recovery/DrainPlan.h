#pragma once

// Decides the next step of a leaving instance. A drain has no deadline and
// interrupts no request; a reclaim has a deadline, and running requests are
// handed over.

#include "base/Clock.h"

#include <optional>

namespace sycamoreward {

struct DrainState
{
  bool isLeaving_ = false;
  // Time left until the platform reclaims the instance; empty for a drain.
  std::optional<Duration> remaining_;
  std::size_t runningRequests_ = 0;
  // Outcomes that are not yet stored durably.
  std::size_t pendingOutcomes_ = 0;
  bool hasHandedOver_ = false;
};

enum class DrainStep
{
  // Continue to serve.
  Serve,
  // Accept no new requests and wait for running requests and pending outcomes.
  Wait,
  // Hand over the running requests now.
  HandOver,
  // Nothing is pending; the process may exit.
  Exit
};

DrainStep
NextDrainStep(const DrainState& aState);

} // namespace sycamoreward
