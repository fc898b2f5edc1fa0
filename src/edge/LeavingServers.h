#pragma once

// Servers that have said in an answer that they leave. They get no further
// requests, whatever the list of servers says: it may lag, be unreachable or
// come from an older copy of the store. Only a new start of the server ends it.

#include "base/Clock.h"
#include "base/Ids.h"
#include "peer/Messages.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace sycamoreward::edge {

struct EdgeState;

struct LeavingServers
{
  struct Entry
  {
    MonotonicTime learnedAt_;
    // The list of servers tells it to the other instances.
    bool isListed_ = false;
  };

  // By server and its start.
  std::map<std::pair<ServerId, Incarnation>, Entry> entries_;
};

// Records that a server leaves. Its idle connections are closed, and the other
// instances are told. aSource names the origin for the log.
void
RecordLeaving(EdgeState& aState,
              const ServerId& aServer,
              Incarnation aIncarnation,
              const char* aSource);

// Whether a server has said that it leaves.
bool
IsLeaving(const LeavingServers& aServers,
          const ServerId& aServer,
          Incarnation aIncarnation);

// Marks the servers in the list of aState that leave. Called when the list has
// been replaced.
void
MarkLeaving(EdgeState& aState);

// Adds the servers that began to leave a short time ago, unless the list of
// servers tells it.
void
AddLeaving(const EdgeState& aState, std::vector<LeavingServer>& aLeaving);

// Applies what another instance has heard.
void
ApplyRelayedLeaving(EdgeState& aState,
                    const std::vector<LeavingServer>& aLeaving);

} // namespace sycamoreward::edge
