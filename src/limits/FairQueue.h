#pragma once

// Requests that wait for a slot. Levels are served in order of priority, short
// work before long work; within a level the workspaces are served by deficit
// round robin. Bounded.

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
  // Expected work in tokens; held within 1 and kMaxCost by Push.
  std::uint64_t cost_ = 1;
  // From this time on the item goes before all levels: half of its deadline.
  MonotonicTime agedAt_ = MonotonicTime::max();
};

// Waiting requests of one workspace at one level.
struct QueueFlow
{
  std::deque<QueueItem> items_;
  std::uint64_t deficit_ = 0;
  // Whether the current visit of the round has added its quantum.
  bool hasQuantum_ = false;
};

struct LevelQueue
{
  std::map<WorkspaceId, QueueFlow> flows_;
  // Order of service; each workspace with a flow is in it once.
  std::deque<WorkspaceId> ring_;
  std::size_t size_ = 0;
};

struct FairQueue
{
  std::map<QueueLevel, LevelQueue> levels_;
  std::unordered_map<std::uint64_t, std::pair<QueueLevel, WorkspaceId>> index_;
};

// Work that a workspace of share 1 may do in a round, in tokens.
constexpr std::uint64_t kQuantum = 512;
// Bounds the rounds that one request can wait for its turn.
constexpr std::uint64_t kMaxCost = 8 * kQuantum;
// Items of one workspace that are examined for one that fits.
constexpr std::size_t kMaxScan = 8;

std::size_t
SizeOf(const FairQueue& aQueue);

// Adds an item; the caller keeps the bound with ChooseVictim.
void
Push(FairQueue& aQueue, QueueItem aItem);

// Takes the next item of aLevel that aFits accepts, or none.
std::optional<QueueItem>
PopNext(FairQueue& aQueue,
        const QueueLevel& aLevel,
        const std::function<bool(const QueueItem&)>& aFits);

// Takes the item that has been due the longest at aNow, of those that aFits
// accepts, whatever its level. Without it long work would wait for as long as
// there is short work. Long work stays within its part of the slots, so short
// work keeps the rest.
std::optional<QueueItem>
PopAged(FairQueue& aQueue,
        MonotonicTime aNow,
        const std::function<bool(const QueueItem&)>& aFits);

// Takes an item out. Empty when it is not in the queue.
std::optional<QueueItem>
Remove(FairQueue& aQueue, std::uint64_t aTicket);

// The newest item of the workspace with the most waiting items for its share at
// the last level. Empty when the queue is empty.
std::optional<QueueItem>
LastItem(const FairQueue& aQueue);

// The item that makes room for aItem in a full queue: LastItem, when its level
// comes after that of aItem, or at the same level when its workspace has more
// waiting for its share. Empty when aItem itself is to be refused.
std::optional<QueueItem>
ChooseVictim(const FairQueue& aQueue, const QueueItem& aItem);

// Waiting items of the same kind, short or long, that will be served before a
// new item: those of earlier levels, and those of the same level that its
// workspace's share lets go first.
std::size_t
CountAhead(const FairQueue& aQueue, const QueueItem& aItem);

} // namespace sycamoreward
