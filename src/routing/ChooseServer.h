#pragma once

// Chooses the server of a request among the views of a pool.

#include "routing/ServerView.h"

#include <optional>
#include <random>
#include <vector>

namespace sycamoreward {

using RandomSource = std::mt19937_64;

struct ChooseServerInput
{
  bool isLong_ = false;
  std::vector<std::uint64_t> prefixHashes_;
  std::vector<ServerId> excluded_;
  // Whether the request may serve as a probe of a slow server.
  bool mayProbe_ = true;
  // Entry instances that share the pool.
  std::size_t instances_ = 1;
  // When set, the only servers that may be chosen.
  std::optional<std::vector<ServerId>> allowed_ = std::nullopt;
  // Prefix to place the request by; that of prefixHashes_ when empty.
  std::optional<std::uint64_t> affinityKey_ = std::nullopt;
};

// Whether aView has a slot for the request. Slots limit the requests of this
// instance only; the other instances of the pool add theirs. For short work the
// server's own queue and priorities settle that. Long work holds its slot, so
// its slots are divided among the instances. Load reports are too old to divide
// them: in simulation six instances that relied on reports filled all slots and
// the 99th percentile of short work rose 79 times. A view with mayBorrowSlot_
// may take one slot more while the report shows a third of the long slots free.
bool
HasFreeSlot(const ServerView& aView,
            const RoutingPolicy& aPolicy,
            bool aIsLong,
            std::size_t aInstances);

// Slots of a server that long work of one instance may fill.
unsigned
MaxLongSlots(const RoutingPolicy& aPolicy, std::size_t aInstances);

// After a load report: lets one of aInstances, on average, borrow a slot.
void
DrawBorrowPermission(ServerView& aView,
                     std::size_t aInstances,
                     RandomSource& aRandom);

// Index of the chosen server: never one that may not get work, is excluded or
// has no room. Empty when there is none.
std::optional<std::size_t>
ChooseServer(const std::vector<ServerView>& aViews,
             const RoutingPolicy& aPolicy,
             const ChooseServerInput& aInput,
             MonotonicTime aNow,
             RandomSource& aRandom);

} // namespace sycamoreward
