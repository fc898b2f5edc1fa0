#pragma once

// Settles claims whose owner has ended: asks the servers of the claim's service
// whether the request ran.

#include "ledger/PartitionTask.h"
#include "requests/RequestContext.h"

#include <functional>

namespace sycamoreward {

// Asks each server that the claim names. One that says that it ran the request
// settles the claim. When all say that they did not, it did not run. The answer
// is "can't say" when a named server has left the list, for it may have run the
// request, and for a claim without names, of which the whole pool is asked.
ServerQuery
MakeClaimQuery(RequestContext& aContext);

} // namespace sycamoreward
