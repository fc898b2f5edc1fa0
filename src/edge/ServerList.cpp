#include "edge/ServerList.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Maximum number of departed servers that are remembered. The removals of the
// last seconds are far fewer.
constexpr std::size_t kMaxDeparted = 1024;

// Returns whether aServer was removed before and is listed only because the
// store has returned from a copy.
bool
IsHeldOut(const ServerList& aList,
          const BackendServer& aServer,
          MonotonicTime aNow)
{
  const auto departed = aList.departed_.find(aServer.id_);
  return aNow < aList.heldOutUntil_ && aServer.isFromCopy_ &&
         departed != aList.departed_.end() &&
         departed->second == aServer.incarnation_;
}

// Returns the entries of aListed that may be used.
std::map<ServerId, BackendServer>
UsableEntries(const ServerList& aList,
              const std::map<ServerId, BackendServer>& aListed,
              MonotonicTime aNow)
{
  std::map<ServerId, BackendServer> servers;
  for (const auto& [id, listed] : aListed) {
    if (IsHeldOut(aList, listed, aNow)) {
      continue;
    }
    BackendServer& server = servers.emplace(id, listed).first->second;
    const auto known = aList.servers_.find(id);
    const bool isSameStart =
      known != aList.servers_.end() &&
      known->second.incarnation_ == server.incarnation_ &&
      server.incarnation_.Value() != 0;
    if (isSameStart && known->second.isDraining_) {
      server.isDraining_ = true;
    }
  }
  return servers;
}

void
RecordDepartures(ServerList& aList,
                 const std::map<ServerId, BackendServer>& aServers)
{
  for (const auto& [id, server] : aList.servers_) {
    if (aServers.count(id) == 0) {
      if (aList.departed_.size() >= kMaxDeparted) {
        aList.departed_.clear();
      }
      aList.departed_[id] = server.incarnation_;
    }
  }
  for (const auto& entry : aServers) {
    aList.departed_.erase(entry.first);
  }
}

} // namespace

void
ApplyListed(ServerList& aList,
            const std::map<ServerId, BackendServer>& aListed,
            MonotonicTime aNow)
{
  auto servers = UsableEntries(aList, aListed, aNow);
  if (aNow < aList.retainUntil_) {
    for (const auto& known : aList.servers_) {
      const BackendServer& server = known.second;
      // A draining server is expected to disappear, and an address that another
      // server now uses belongs to that one: neither is retained.
      const bool isReplaced =
        std::any_of(servers.begin(), servers.end(), [&](const auto& aEntry) {
          return aEntry.second.address_ == server.address_;
        });
      if (!server.isDraining_ && !isReplaced) {
        servers.emplace(known.first, server);
      }
    }
  }
  RecordDepartures(aList, servers);
  aList.servers_ = std::move(servers);
}

void
RetainMissing(ServerList& aList, Duration aGracePeriod, MonotonicTime aNow)
{
  aList.retainUntil_ = std::max(aList.retainUntil_, aNow + aGracePeriod);
}

void
HoldOutDeparted(ServerList& aList, Duration aTime, MonotonicTime aNow)
{
  aList.heldOutUntil_ = std::max(aList.heldOutUntil_, aNow + aTime);
}

} // namespace sycamoreward::edge
