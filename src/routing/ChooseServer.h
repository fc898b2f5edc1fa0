#pragma once

// Chooses the server of a request among the views of a pool.

#include "routing/ServerView.h"

#include <optional>
#include <random>
#include <vector>

namespace sycamoreward {

using RandomSource = std::mt19937_64;

struct ChooseQuestion
{
  bool isLong_ = false;
  std::vector<std::uint64_t> prefixHashes_;
  std::vector<ServerId> excluded_;
  // Whether the request may serve as a probe of a slow server.
  bool mayProbe_ = true;
};

// Whether aView has a slot for the request. Slots limit the requests of this
// instance only. Others that serve the same pool add theirs: short work relies
// on the engine's queue and priority for these, long work leaves room for them
// by the load reports.
bool
HasRoom(const ServerView& aView,
        const RoutingPolicy& aPolicy,
        bool aIsLong,
        MonotonicTime aNow);

// Index of the chosen server: never one that may not get work, is excluded or
// has no room. Empty when there is none.
std::optional<std::size_t>
ChooseServer(const std::vector<ServerView>& aViews,
             const RoutingPolicy& aPolicy,
             const ChooseQuestion& aQuestion,
             MonotonicTime aNow,
             RandomSource& aRandom);

} // namespace sycamoreward
