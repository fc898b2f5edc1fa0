#pragma once

// Numbers of requests that began to run, by window of wall time and workspace,
// as required for the platform's usage report.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace sycamoreward::edge {

// Counts by workspace.
using WorkspaceCounts = std::map<std::string, std::uint64_t>;
// Counts by window number.
using WindowCounts = std::map<std::uint64_t, WorkspaceCounts>;

struct UsageCounts
{
  Duration window_{ std::chrono::seconds(5) };
  WindowCounts own_;
  // By incarnation of each other instance, since a restarted one counts from
  // zero.
  std::map<std::pair<InstanceId, Incarnation>, WindowCounts> peers_;
};

// Returns the number of the window that contains aTime.
std::uint64_t
WindowOf(const UsageCounts& aUsage, WallTime aTime);

// Counts a request of this instance that began to run.
void
CountBegun(UsageCounts& aUsage, const WorkspaceId& aWorkspace, WallTime aTime);

// Merges the counts of another instance: higher counts replace lower ones.
void
MergePeerCounts(UsageCounts& aUsage,
                const InstanceId& aPeer,
                Incarnation aIncarnation,
                const WindowCounts& aCounts);

// Returns the sum over all instances.
WorkspaceCounts
SumWindow(const UsageCounts& aUsage, std::uint64_t aWindow);

// Drops the windows before aWindow.
void
DropWindowsBefore(UsageCounts& aUsage, std::uint64_t aWindow);

} // namespace sycamoreward::edge
