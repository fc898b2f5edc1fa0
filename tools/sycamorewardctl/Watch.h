#pragma once

// Watches the resources of a kind for changes.

#include "ApiClient.h"
#include "Options.h"

#include <ostream>

namespace sycamoreward {

// Prints the resources, unless the options state a revision to start after,
// then each change. When the stream ends, reconnects at the last revision seen;
// when that revision is too old (410), starts over with a new list. Returns
// after the number of events in the options. Throws InternalError when
// kMaxWatchFailures streams in a row ended without an event, and ApiError for
// other 4xx replies.
void
WatchResources(ApiClient& aClient,
               ResourceKind aKind,
               const CtlOptions& aOptions,
               std::ostream& aOut,
               std::ostream& aErr);

constexpr unsigned kMaxWatchFailures = 30;

} // namespace sycamoreward
