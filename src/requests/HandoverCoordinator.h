#pragma once

// Hands running requests over to successors before a deadline, and takes over
// those of other instances.

#include "recovery/Handover.h"
#include "requests/RequestContext.h"
#include "requests/RequestTable.h"

#include <memory>
#include <vector>

namespace sycamoreward {

class HandoverCoordinator
{
public:
  // Takes requests of other instances from now on.
  HandoverCoordinator(RequestContext& aContext, RequestTable& aTable);

  // Hands over what will not end in time. aDeadline is when the instance is
  // taken away.
  void HandOverAll(MonotonicTime aDeadline);

  // Refuses requests of other instances from now on.
  void StopAccepting();

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
