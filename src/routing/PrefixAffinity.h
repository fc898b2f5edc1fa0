#pragma once

// Sends prompts with the same beginning to the same server, whose prefix cache
// then holds it, unless that server is loaded more than the others.

#include "routing/ServerView.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamoreward {

// Prefix by which a prompt is placed, counted in entries of prefixHashes_.
// Short enough that turns of one conversation share it, long enough that
// conversations with one system prompt differ.
constexpr std::size_t kAffinityDepth = 4;

// How often this instance has seen each prefix lately. Bounded; the counts
// halve from time to time.
struct PrefixCounts
{
  std::unordered_map<std::uint64_t, double> counts_;
  double requests_ = 0;
  std::uint64_t sinceHalving_ = 0;
};

// Prefixes held at most, and requests between two halvings.
constexpr std::size_t kMaxPrefixes = 262144;
constexpr std::uint64_t kHalvingRequests = 4096;

void
CountPrefixes(PrefixCounts& aCounts,
              const std::vector<std::uint64_t>& aPrefixHashes);

// Empty when the prompt is too short for a prefix.
std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes);

// A prefix that many requests share, such as the instructions of a large
// workspace, would bring more than one server can take; the overflow would
// place the documents behind it by load, that is at random. The key is
// therefore the shortest prefix whose part of the requests is small against
// that of one of aServers, but not one that only this request has.
std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes,
            const PrefixCounts& aCounts,
            std::size_t aServers);

// Of aCandidates (indices into aViews), the first by rendezvous rank whose load
// with one more request is at most aBound times the mean. Empty when there is
// no candidate.
std::optional<std::size_t>
ChooseByPrefix(const std::vector<ServerView>& aViews,
               const std::vector<std::size_t>& aCandidates,
               std::uint64_t aKey,
               double aBound);

} // namespace sycamoreward
