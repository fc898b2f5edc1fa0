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
      // A server that announced its end is not missing by mistake. An address
      // that another one has taken belongs to that one.
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
