#pragma once

// What a leaving instance does next: a drain has no deadline and interrupts
// nothing, a reclaim has one and hands requests over.

#include "base/Clock.h"

#include <optional>

namespace sycamoreward {

struct DrainState
{
  bool isLeaving_ = false;
  // Time left until the platform takes the instance away; empty for a drain.
  std::optional<Duration> remaining_;
  std::size_t runningRequests_ = 0;
  // Outcomes that are not durable yet.
  std::size_t pendingOutcomes_ = 0;
  bool hasHandedOver_ = false;
};

enum class DrainStep
{
  // Serve as usual.
  Serve,
  // Take no new requests; wait for the running ones.
  Wait,
  // Hand running requests over now.
  HandOver,
  // Nothing is left to do: the process may exit.
  Exit
};

DrainStep
NextDrainStep(const DrainState& aState);

} // namespace sycamoreward
