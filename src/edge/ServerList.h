#pragma once

// Decides which of the backend servers listed by the platform are used. While
// the store is unreachable, entries expire although their servers are running,
// so a missing entry is removed only some time after the store is back.

#include "base/Clock.h"
#include "edge/BackendServer.h"

#include <map>
#include <optional>

namespace sycamoreward::edge {

struct ServerList
{
  // Backend servers in use.
  std::map<ServerId, BackendServer> servers_;
  // Missing entries are retained until then.
  MonotonicTime retainUntil_;
  // Servers that were removed, with their incarnations.
  std::map<ServerId, Incarnation> departed_;
  // Until then, departed servers are not used again from an older copy.
  MonotonicTime heldOutUntil_;
};

// Applies the platform's current list. A server that was draining stays so
// until it starts again. Servers that were retained although they are no longer
// listed are removed once aNow has reached retainUntil_.
void
ApplyListed(ServerList& aList,
            const std::map<ServerId, BackendServer>& aListed,
            MonotonicTime aNow);

// Retains missing entries for aGracePeriod from aNow, after an outage of the
// store.
void
RetainMissing(ServerList& aList, Duration aGracePeriod, MonotonicTime aNow);

// Ignores entries from an older copy of the store for aTime from aNow, if their
// servers were removed before. The servers that are alive write theirs again.
void
HoldOutDeparted(ServerList& aList, Duration aTime, MonotonicTime aNow);

} // namespace sycamoreward::edge
