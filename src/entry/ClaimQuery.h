#pragma once

// Resolves claims whose owner has terminated, by asking the servers of the
// claim's service whether the request ran.

#include "ledger/PartitionTask.h"
#include "requests/RequestContext.h"

#include <functional>

namespace sycamoreward {

// Returns a query that asks each server named in the claim. The request ran if
// one server reports that it ran, and did not run if all report that it did
// not. Otherwise the result is unknown; in particular, a negative result is
// never concluded when a named server is no longer listed, because it may have
// run the request, or when the claim names no servers, in which case the
// complete pool is asked. aContext must outlive the query.
ServerQuery
MakeClaimQuery(RequestContext& aContext);

} // namespace sycamoreward
