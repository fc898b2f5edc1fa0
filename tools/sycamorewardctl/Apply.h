#pragma once

// Carries out a plan, and waits until it is in force everywhere.

#include "Options.h"
#include "Plan.h"

#include <ostream>

namespace sycamoreward {

// Sends the changes one by one, with the version that was read as condition,
// and prints each. A change that fails does not stop the others. After a 409
// the resource is read again; it is not overwritten. With --wait, prints the
// revision in force in each failure domain until all have the last change.
// Returns 0, or 2 when a change failed or the wait took too long.
int
ApplyPlan(ApiClient& aClient,
          const std::vector<Change>& aPlan,
          const CtlOptions& aOptions,
          std::ostream& aOut,
          std::ostream& aErr);

// Failure domains whose revision in force is below aRevision, and all of them,
// from status.inForce of a resource.
struct InForce
{
  std::map<std::string, std::uint64_t> revisions_;
  bool isEverywhere_ = false;
};

InForce
ReadInForce(const nlohmann::json& aDocument, std::uint64_t aRevision);

} // namespace sycamoreward
