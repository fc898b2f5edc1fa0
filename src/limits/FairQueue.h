#pragma once

// Bounded queue of requests that wait for a slot. Levels are served in order of
// priority, short work before long work; within a level, workspaces are served
// by deficit round robin, weighted by their shares.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamoreward {

struct QueueLevel
{
  // 0 is served first.
  unsigned priority_ = 0;
  bool isLong_ = false;

  friend bool operator<(const QueueLevel& aLeft, const QueueLevel& aRight)
  {
    return aLeft.priority_ != aRight.priority_
             ? aLeft.priority_ < aRight.priority_
             : aLeft.isLong_ < aRight.isLong_;
  }
};

struct QueueItem
{
  std::uint64_t ticket_ = 0;
  WorkspaceId workspace_;
  QueueLevel level_;
  // Weight of the workspace, from 1.
  unsigned share_ = 1;
  // Estimated cost in tokens; Push clamps it to the range from 1 to kMaxCost.
  std::uint64_t cost_ = 1;
  // Time from which the item is served before all levels: when half of its
  // deadline has passed.
  MonotonicTime agedAt_ = MonotonicTime::max();
};

// Waiting requests of one workspace at one level.
struct QueueFlow
{
  std::deque<QueueItem> items_;
  std::uint64_t deficit_ = 0;
  // Whether the quantum of the current round was added to deficit_.
  bool hasQuantum_ = false;
};

// Requests that wait at one level, grouped by workspace.
struct LevelQueue
{
  std::map<WorkspaceId, QueueFlow> flows_;
  // Workspaces in round-robin order; each workspace with a flow appears once.
  std::deque<WorkspaceId> ring_;
  std::size_t size_ = 0;
};

struct FairQueue
{
  std::map<QueueLevel, LevelQueue> levels_;
  // Location of each item by ticket.
  std::unordered_map<std::uint64_t, std::pair<QueueLevel, WorkspaceId>> index_;
};

// Quantum of deficit round robin: tokens that a workspace of share 1 may use
// per round.
constexpr std::uint64_t kQuantum = 512;
// Bounds the number of rounds that a request can wait for enough deficit.
constexpr std::uint64_t kMaxCost = 8 * kQuantum;
// Maximum number of items of a workspace that are examined to find one that
// fits.
constexpr std::size_t kMaxScan = 8;

std::size_t
SizeOf(const FairQueue& aQueue);

// Adds an item. The caller enforces the queue's bound, with ChooseVictim.
void
Push(FairQueue& aQueue, QueueItem aItem);

// Removes and returns the next item of aLevel for which aFits is true. Empty if
// there is none.
std::optional<QueueItem>
PopNext(FairQueue& aQueue,
        const QueueLevel& aLevel,
        const std::function<bool(const QueueItem&)>& aFits);

// Among the items whose agedAt_ has passed and for which aFits is true, removes
// and returns the one with the earliest agedAt_, regardless of its level. This
// keeps short work from starving long work. Long work is still limited to its
// share of the slots, so short work keeps the rest.
std::optional<QueueItem>
PopAged(FairQueue& aQueue,
        MonotonicTime aNow,
        const std::function<bool(const QueueItem&)>& aFits);

// Removes and returns an item. Empty if it is not in the queue.
std::optional<QueueItem>
Remove(FairQueue& aQueue, std::uint64_t aTicket);

// The newest item, at the last level, of the workspace with the most queued
// items relative to its share. Empty if the queue is empty.
std::optional<QueueItem>
LastItem(const FairQueue& aQueue);

// The item to evict from a full queue in favor of aItem: LastItem, if its level
// comes after the level of aItem, or if the levels are equal and its workspace
// has more queued items relative to its share. Empty if aItem itself should be
// refused.
std::optional<QueueItem>
ChooseVictim(const FairQueue& aQueue, const QueueItem& aItem);

// Number of queued items of the same kind, short or long, that will be served
// before a new item: all items of earlier levels, and those of the same level
// that come first by the shares of their workspaces.
std::size_t
CountAhead(const FairQueue& aQueue, const QueueItem& aItem);

} // namespace sycamoreward
