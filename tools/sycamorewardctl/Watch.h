#pragma once

// Follows the changes of the resources of a kind.

#include "ApiClient.h"
#include "Options.h"

#include <ostream>

namespace sycamoreward {

// Prints a list first unless the options state a revision, then each change.
// Connects again, at the last revision seen, when the stream ends; begins with
// a new list when that revision is too old (410). Returns after the number of
// events in the options. Throws when the server can't be reached
// kMaxWatchFailures times in a row.
void
WatchResources(ApiClient& aClient,
               ResourceKind aKind,
               const CtlOptions& aOptions,
               std::ostream& aOut,
               std::ostream& aErr);

constexpr unsigned kMaxWatchFailures = 30;

} // namespace sycamoreward
