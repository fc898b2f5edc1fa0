#pragma once

// Hands running requests over to other instances before this instance is
// reclaimed, and accepts handovers from other instances.

#include "recovery/Handover.h"
#include "requests/RequestContext.h"
#include "requests/RequestTable.h"

#include <memory>
#include <vector>

namespace sycamoreward {

// Plans, sends and receives request handovers.
class HandoverCoordinator
{
public:
  // Registers the handler of HandOver messages.
  HandoverCoordinator(RequestContext& aContext, RequestTable& aTable);

  // Stops accepting handovers and hands over running requests that will not end
  // before aDeadline, the time at which the instance is reclaimed.
  void HandOverAll(MonotonicTime aDeadline);

  // Rejects handovers from other instances from now on.
  void StopAccepting();

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
