#pragma once

// Decides which backend servers are used from what the platform lists. While
// the store was away entries lapse although their servers live, so a missing
// entry counts only some time after the store's return.

#include "base/Clock.h"
#include "edge/BackendServer.h"

#include <map>
#include <optional>

namespace sycamoreward::edge {

struct ServerList
{
  // What is used.
  std::map<ServerId, BackendServer> servers_;
  // Until then entries that are missing are kept.
  MonotonicTime retainUntil_;
};

// Enters what the platform lists now. Servers that were kept although they are
// not listed any more are gone when aNow has reached retainUntil_.
void
ApplyListed(ServerList& aList,
            const std::map<ServerId, BackendServer>& aListed,
            MonotonicTime aNow);

// The store is back after an outage.
void
RetainMissing(ServerList& aList, Duration aGracePeriod, MonotonicTime aNow);

} // namespace sycamoreward::edge
