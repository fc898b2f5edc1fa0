#pragma once

// Requests that began to run, by window of wall time and workspace, as the
// platform's usage report wants them.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace sycamoreward::edge {

// Counts by workspace.
using WorkspaceCounts = std::map<std::string, std::uint64_t>;
// Counts by number of the window.
using WindowCounts = std::map<std::uint64_t, WorkspaceCounts>;

struct UsageCounts
{
  Duration window_{ std::chrono::seconds(5) };
  WindowCounts own_;
  // Of each start of each other instance; a restarted one counts from zero.
  std::map<std::pair<InstanceId, Incarnation>, WindowCounts> peers_;
};

// Number of the window that contains aTime.
std::uint64_t
WindowOf(const UsageCounts& aUsage, WallTime aTime);

// Counts a request of this instance that began to run.
void
CountBegun(UsageCounts& aUsage, const WorkspaceId& aWorkspace, WallTime aTime);

// Enters the counts of another instance; higher ones replace lower ones.
void
MergePeerCounts(UsageCounts& aUsage,
                const InstanceId& aPeer,
                Incarnation aIncarnation,
                const WindowCounts& aCounts);

// Sum over all instances.
WorkspaceCounts
SumWindow(const UsageCounts& aUsage, std::uint64_t aWindow);

// Forgets the windows before aWindow.
void
DropWindowsBefore(UsageCounts& aUsage, std::uint64_t aWindow);

} // namespace sycamoreward::edge
