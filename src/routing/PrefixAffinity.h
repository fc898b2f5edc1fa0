#pragma once

// Routes prompts with a common prefix to the same server, whose prefix cache
// then holds it, unless that server has a higher load than the bound allows.

#include "routing/ServerView.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamoreward {

// Length of the prefix that determines the placement, in entries of
// prefixHashes_. Short enough that the turns of one conversation share it, long
// enough that conversations with the same system prompt differ.
constexpr std::size_t kAffinityDepth = 4;

// Recent number of requests with each prefix at this instance. Bounded; all
// counts are halved periodically.
struct PrefixCounts
{
  std::unordered_map<std::uint64_t, double> counts_;
  double requests_ = 0;
  std::uint64_t sinceHalving_ = 0;
};

// Maximum number of tracked prefixes, and number of requests between two
// halvings.
constexpr std::size_t kMaxPrefixes = 262144;
constexpr std::uint64_t kHalvingRequests = 4096;

// Counts a request with the given prefixes. Halves all counts and drops the
// ones below 1 after kHalvingRequests requests or beyond kMaxPrefixes prefixes.
void
CountPrefixes(PrefixCounts& aCounts,
              const std::vector<std::uint64_t>& aPrefixHashes);

// Returns the prefix hash at kAffinityDepth, or the last one of a shorter
// prompt. Empty if there are no hashes.
std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes);

// As above, but uses a longer prefix if many requests share the short one, such
// as the instructions of a large workspace. Such a prefix would attract more
// requests than one server can take, and the excess would be placed by load,
// that is at random with respect to the documents that follow. The key is
// therefore the shortest prefix whose fraction of the requests is small
// compared to the fraction that one of aServers gets, but not a prefix that
// only this request has.
std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes,
            const PrefixCounts& aCounts,
            std::size_t aServers);

// Among aCandidates (indices into aViews), returns the one with the highest
// rendezvous rank whose load including this request is at most aBound times the
// mean. Empty if there are no candidates.
std::optional<std::size_t>
ChooseByPrefix(const std::vector<ServerView>& aViews,
               const std::vector<std::size_t>& aCandidates,
               std::uint64_t aKey,
               double aBound);

} // namespace sycamoreward
