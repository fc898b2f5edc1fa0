#include "edge/ServerList.h"

#include <algorithm>

namespace sycamoreward::edge {

void
ApplyListed(ServerList& aList,
            const std::map<ServerId, BackendServer>& aListed,
            MonotonicTime aNow)
{
  std::map<ServerId, BackendServer> servers = aListed;
  if (aNow < aList.retainUntil_) {
    for (const auto& known : aList.servers_) {
      const BackendServer& server = known.second;
      // A draining server is expected to disappear, and an address that another
      // server now uses belongs to that one: neither is retained.
      const bool isReplaced =
        std::any_of(aListed.begin(), aListed.end(), [&](const auto& aEntry) {
          return aEntry.second.address_ == server.address_;
        });
      if (!server.isDraining_ && !isReplaced) {
        servers.emplace(known.first, server);
      }
    }
  }
  aList.servers_ = std::move(servers);
}

void
RetainMissing(ServerList& aList, Duration aGracePeriod, MonotonicTime aNow)
{
  aList.retainUntil_ = std::max(aList.retainUntil_, aNow + aGracePeriod);
}

} // namespace sycamoreward::edge
