#pragma once

// Applies a plan, and waits until it is in force in all failure domains.

#include "Options.h"
#include "Plan.h"

#include <ostream>

namespace sycamoreward {

// Sends the changes one by one, conditional on the version that was read, and
// prints each. A change that fails does not stop the others. After a 409 the
// resource is read again and not overwritten. With --wait, prints the revision
// in force in each failure domain until all have the last change. Returns 0, or
// 2 when a change failed or the wait timed out.
int
ApplyPlan(ApiClient& aClient,
          const std::vector<Change>& aPlan,
          const CtlOptions& aOptions,
          std::ostream& aOut,
          std::ostream& aErr);

// The revision in force in each failure domain, from status.inForce of a
// resource.
struct InForce
{
  std::map<std::string, std::uint64_t> revisions_;
  // Whether there are failure domains and all have the awaited revision.
  bool isEverywhere_ = false;
};

InForce
ReadInForce(const nlohmann::json& aDocument, std::uint64_t aRevision);

} // namespace sycamoreward
