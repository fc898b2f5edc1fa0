#pragma once

// Sends prompts with the same beginning to the same server, whose prefix cache
// then holds it, unless that server is loaded more than the others.

#include "routing/ServerView.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamoreward {

// Prefix by which a prompt is placed, counted in entries of prefixHashes_.
// Short enough that turns of one conversation share it, long enough that
// conversations with one system prompt differ.
constexpr std::size_t kAffinityDepth = 4;

// Empty when the prompt is too short for a prefix.
std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes);

// Of aCandidates (indices into aViews), the first by rendezvous rank whose load
// with one more request is at most aBound times the mean. Empty when there is
// no candidate.
std::optional<std::size_t>
ChooseByPrefix(const std::vector<ServerView>& aViews,
               const std::vector<std::size_t>& aCandidates,
               std::uint64_t aKey,
               double aBound,
               MonotonicTime aNow);

} // namespace sycamoreward
