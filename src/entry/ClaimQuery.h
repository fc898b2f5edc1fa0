#pragma once

// Settles claims whose owner has ended: asks the servers of the claim's service
// whether the request ran.

#include "ledger/PartitionTask.h"
#include "requests/RequestContext.h"

#include <functional>

namespace sycamoreward {

// Asks each server of the pool, since a claim does not name the server that its
// owner chose. One that says that it ran the request settles the claim. When
// all say that they did not, the answer is still "can't say": a server that ran
// it may have left the list since.
ServerQuery
MakeClaimQuery(RequestContext& aContext);

} // namespace sycamoreward
