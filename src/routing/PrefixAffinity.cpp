#include "routing/PrefixAffinity.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

namespace {

// Fraction of one server's share of the requests above which a prefix is split
// by the prefixes that extend it.
constexpr double kSplitFraction = 0.4;

// Number of requests at the server. The last report counts in full until the
// next one arrives. With the decay that ChoosePowerOfTwo uses, six instances
// took servers alternately for idle and for loaded, and 12.1% of the prompt
// tokens were recomputed instead of 10.2%.
double
LoadOf(const ServerView& aView)
{
  return double(aView.inFlight_) + ReportedPeerLoad(aView);
}

} // namespace

std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes)
{
  if (aPrefixHashes.empty()) {
    return std::nullopt;
  }
  return aPrefixHashes[std::min(aPrefixHashes.size(), kAffinityDepth) - 1];
}

void
CountPrefixes(PrefixCounts& aCounts,
              const std::vector<std::uint64_t>& aPrefixHashes)
{
  ++aCounts.requests_;
  for (const std::uint64_t hash : aPrefixHashes) {
    ++aCounts.counts_[hash];
  }
  if (++aCounts.sinceHalving_ < kHalvingRequests &&
      aCounts.counts_.size() <= kMaxPrefixes) {
    return;
  }
  aCounts.sinceHalving_ = 0;
  aCounts.requests_ /= 2;
  for (auto entry = aCounts.counts_.begin(); entry != aCounts.counts_.end();) {
    entry->second /= 2;
    entry = entry->second < 1 ? aCounts.counts_.erase(entry) : ++entry;
  }
}

std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes,
            const PrefixCounts& aCounts,
            std::size_t aServers)
{
  if (aPrefixHashes.size() <= kAffinityDepth || aServers == 0) {
    return AffinityKey(aPrefixHashes);
  }
  const double limit =
    kSplitFraction * std::max(1.0, aCounts.requests_) / double(aServers);
  const auto countOf = [&](std::size_t aIndex) {
    const auto found = aCounts.counts_.find(aPrefixHashes[aIndex]);
    return found == aCounts.counts_.end() ? 0.0 : found->second;
  };
  std::size_t at = kAffinityDepth - 1;
  while (at + 1 < aPrefixHashes.size() && countOf(at) > limit) {
    ++at;
  }
  // Only this request has the prefix. Uses the shared prefix one entry before
  // it, unless that one exceeds a server's share of the requests.
  if (at >= kAffinityDepth && countOf(at) < 1 &&
      countOf(at - 1) <= limit / kSplitFraction) {
    --at;
  }
  return aPrefixHashes[at];
}

std::optional<std::size_t>
ChooseByPrefix(const std::vector<ServerView>& aViews,
               const std::vector<std::size_t>& aCandidates,
               std::uint64_t aKey,
               double aBound)
{
  double total = 1;
  for (const std::size_t candidate : aCandidates) {
    total += LoadOf(aViews[candidate]);
  }
  // Rounded up, so that at least one server is always within the limit.
  const double limit =
    std::ceil(std::max(1.0, aBound) * total / double(aCandidates.size()));
  std::optional<std::size_t> best;
  std::uint64_t bestScore = 0;
  for (const std::size_t candidate : aCandidates) {
    if (LoadOf(aViews[candidate]) + 1 > limit) {
      continue;
    }
    const std::uint64_t score =
      RendezvousScore(aViews[candidate].server_.id_.Value(), aKey);
    if (!best || score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

} // namespace sycamoreward
