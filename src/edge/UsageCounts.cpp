#include "edge/UsageCounts.h"

#include <algorithm>

namespace sycamoreward::edge {

std::uint64_t
WindowOf(const UsageCounts& aUsage, WallTime aTime)
{
  return std::uint64_t(aTime.time_since_epoch() / aUsage.window_);
}

void
CountBegun(UsageCounts& aUsage, const WorkspaceId& aWorkspace, WallTime aTime)
{
  ++aUsage.own_[WindowOf(aUsage, aTime)][aWorkspace.Value()];
}

void
MergePeerCounts(UsageCounts& aUsage,
                const InstanceId& aPeer,
                Incarnation aIncarnation,
                const WindowCounts& aCounts)
{
  WindowCounts& known = aUsage.peers_[{ aPeer, aIncarnation }];
  for (const auto& [window, counts] : aCounts) {
    for (const auto& [workspace, count] : counts) {
      std::uint64_t& value = known[window][workspace];
      value = std::max(value, count);
    }
  }
}

WorkspaceCounts
SumWindow(const UsageCounts& aUsage, std::uint64_t aWindow)
{
  WorkspaceCounts sum;
  const auto add = [&](const WindowCounts& aCounts) {
    const auto found = aCounts.find(aWindow);
    if (found != aCounts.end()) {
      for (const auto& [workspace, count] : found->second) {
        sum[workspace] += count;
      }
    }
  };
  add(aUsage.own_);
  for (const auto& [peer, counts] : aUsage.peers_) {
    add(counts);
  }
  return sum;
}

void
DropWindowsBefore(UsageCounts& aUsage, std::uint64_t aWindow)
{
  aUsage.own_.erase(aUsage.own_.begin(), aUsage.own_.lower_bound(aWindow));
  for (auto peer = aUsage.peers_.begin(); peer != aUsage.peers_.end();) {
    WindowCounts& counts = peer->second;
    counts.erase(counts.begin(), counts.lower_bound(aWindow));
    peer = counts.empty() ? aUsage.peers_.erase(peer) : std::next(peer);
  }
}

} // namespace sycamoreward::edge
