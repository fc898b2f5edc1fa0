#pragma once

// Selects the server for a request from the server views of a pool.

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
  // Whether the request may be used to probe a slow server.
  bool mayProbe_ = true;
  // Number of entry instances that share the pool.
  std::size_t instances_ = 1;
  // If set, only these servers may be chosen.
  std::optional<std::vector<ServerId>> allowed_ = std::nullopt;
  // Prefix hash that determines the preferred server. If empty, it is derived
  // from prefixHashes_.
  std::optional<std::uint64_t> affinityKey_ = std::nullopt;
};

// Whether this instance may use another slot of the server. The slots limit the
// requests of this instance only; other instances of the pool add their own.
// For short work the server's queue and priorities absorb the sum. Long work
// holds its slots for long, so the long slots are divided among the instances.
// Load reports are too old to divide them by: in simulation, six instances that
// relied on reports filled all slots, and the 99th percentile of short work
// rose 79 times. An instance with mayBorrowSlot_ may use one long slot beyond
// its share while the report shows a third of the long slots free.
bool
HasFreeSlot(const ServerView& aView,
            const RoutingPolicy& aPolicy,
            bool aIsLong,
            std::size_t aInstances);

// Number of slots of a server that long work of one instance may use.
unsigned
MaxLongSlots(const RoutingPolicy& aPolicy, std::size_t aInstances);

// Called after each load report. Grants the permission to borrow a slot with
// probability 1 / aInstances, so that on average one instance has it.
void
DrawBorrowPermission(ServerView& aView,
                     std::size_t aInstances,
                     RandomSource& aRandom);

// Returns the index of the chosen server. Servers that are ineligible, excluded
// or without a free slot are never chosen; empty if no other server is left.
std::optional<std::size_t>
ChooseServer(const std::vector<ServerView>& aViews,
             const RoutingPolicy& aPolicy,
             const ChooseServerInput& aInput,
             MonotonicTime aNow,
             RandomSource& aRandom);

} // namespace sycamoreward
