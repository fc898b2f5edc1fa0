#include "routing/PrefixAffinity.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

std::optional<std::uint64_t>
AffinityKey(const std::vector<std::uint64_t>& aPrefixHashes)
{
  if (aPrefixHashes.empty()) {
    return std::nullopt;
  }
  return aPrefixHashes[std::min(aPrefixHashes.size(), kAffinityDepth) - 1];
}

std::optional<std::size_t>
ChooseByPrefix(const std::vector<ServerView>& aViews,
               const std::vector<std::size_t>& aCandidates,
               std::uint64_t aKey,
               double aBound,
               MonotonicTime aNow)
{
  double total = 1;
  for (const std::size_t candidate : aCandidates) {
    total += EstimateLoad(aViews[candidate], aNow);
  }
  // Rounded up, so that some server is always within the bound.
  const double most =
    std::ceil(std::max(1.0, aBound) * total / double(aCandidates.size()));
  std::optional<std::size_t> best;
  std::uint64_t bestScore = 0;
  for (const std::size_t candidate : aCandidates) {
    if (EstimateLoad(aViews[candidate], aNow) + 1 > most) {
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
