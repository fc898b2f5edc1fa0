#include "routing/ChooseServer.h"

#include "routing/DetectSlow.h"
#include "routing/PrefixAffinity.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

namespace {

// Fraction of the requests that may be used as probes of slow servers. Well
// under 1%, so that probes don't determine the 99th percentile.
constexpr double kProbeFraction = 0.003;

// Fraction of the long slots up to which an instance may borrow. The remainder
// absorbs slots that other instances borrow based on the same report.
constexpr double kMaxBorrowFraction = 2.0 / 3.0;

double
DrawUniform(RandomSource& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

// Draws a position in aCandidates with probability proportional to the server's
// weight.
std::size_t
DrawWeighted(const std::vector<ServerView>& aViews,
             const std::vector<std::size_t>& aCandidates,
             RandomSource& aRandom)
{
  double total = 0;
  for (const std::size_t candidate : aCandidates) {
    total += aViews[candidate].weight_;
  }
  double remaining = DrawUniform(aRandom) * total;
  for (std::size_t at = 0; at + 1 < aCandidates.size(); ++at) {
    remaining -= aViews[aCandidates[at]].weight_;
    if (remaining < 0) {
      return at;
    }
  }
  return aCandidates.size() - 1;
}

// Expected time at the server, in units of the time that one request takes on a
// server of median speed.
double
Score(const ServerView& aView, MonotonicTime aNow)
{
  return (EstimateLoad(aView, aNow) + 1) / aView.weight_;
}

// Power of two choices: draws two candidates and returns the one with the lower
// score.
std::size_t
ChoosePowerOfTwo(const std::vector<ServerView>& aViews,
                 std::vector<std::size_t> aCandidates,
                 MonotonicTime aNow,
                 RandomSource& aRandom)
{
  const std::size_t firstAt = DrawWeighted(aViews, aCandidates, aRandom);
  const std::size_t first = aCandidates[firstAt];
  aCandidates.erase(aCandidates.begin() + std::ptrdiff_t(firstAt));
  if (aCandidates.empty()) {
    return first;
  }
  const std::size_t second =
    aCandidates[DrawWeighted(aViews, aCandidates, aRandom)];
  return Score(aViews[second], aNow) < Score(aViews[first], aNow) ? second
                                                                  : first;
}

bool
Contains(const std::vector<ServerId>& aServers, const ServerId& aServer)
{
  return std::find(aServers.begin(), aServers.end(), aServer) != aServers.end();
}

std::vector<std::size_t>
FindCandidates(const std::vector<ServerView>& aViews,
               const RoutingPolicy& aPolicy,
               const ChooseServerInput& aInput,
               MonotonicTime aNow)
{
  std::vector<std::size_t> candidates;
  for (std::size_t index = 0; index < aViews.size(); ++index) {
    const ServerView& view = aViews[index];
    const bool isExcluded =
      Contains(aInput.excluded_, view.server_.id_) ||
      (aInput.allowed_ && !Contains(*aInput.allowed_, view.server_.id_));
    if (!isExcluded && IsEligible(view, aNow) &&
        HasFreeSlot(view, aPolicy, aInput.isLong_, aInput.instances_)) {
      candidates.push_back(index);
    }
  }
  return candidates;
}

std::optional<std::size_t>
FindProbe(const std::vector<ServerView>& aViews,
          const std::vector<std::size_t>& aCandidates,
          MonotonicTime aNow,
          RandomSource& aRandom)
{
  for (const std::size_t candidate : aCandidates) {
    if (IsProbeDue(aViews[candidate], aNow)) {
      return DrawUniform(aRandom) < kProbeFraction ? std::optional(candidate)
                                                   : std::nullopt;
    }
  }
  return std::nullopt;
}

} // namespace

unsigned
MaxLongSlots(const RoutingPolicy& aPolicy, std::size_t aInstances)
{
  const double all = std::floor(aPolicy.longShare_ * aPolicy.slotsPerServer_);
  // At least one long request is allowed; otherwise a pool with few slots would
  // serve none.
  return std::max(1U, unsigned(all) / unsigned(aInstances));
}

bool
HasFreeSlot(const ServerView& aView,
            const RoutingPolicy& aPolicy,
            bool aIsLong,
            std::size_t aInstances)
{
  if (aView.inFlight_ >= aPolicy.slotsPerServer_) {
    return false;
  }
  if (!aIsLong || aView.longInFlight_ < MaxLongSlots(aPolicy, aInstances)) {
    return true;
  }
  const double limit = MaxLongSlots(aPolicy, 1) * kMaxBorrowFraction;
  return aView.mayBorrowSlot_ &&
         aView.longInFlight_ + 1 + ReportedPeerLoad(aView) <= limit;
}

void
DrawBorrowPermission(ServerView& aView,
                     std::size_t aInstances,
                     RandomSource& aRandom)
{
  aView.mayBorrowSlot_ =
    aInstances > 1 && DrawUniform(aRandom) * double(aInstances) < 1;
}

std::optional<std::size_t>
ChooseServer(const std::vector<ServerView>& aViews,
             const RoutingPolicy& aPolicy,
             const ChooseServerInput& aInput,
             MonotonicTime aNow,
             RandomSource& aRandom)
{
  std::vector<std::size_t> candidates =
    FindCandidates(aViews, aPolicy, aInput, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (aInput.mayProbe_) {
    if (const auto probe = FindProbe(aViews, candidates, aNow, aRandom)) {
      return probe;
    }
  }
  const auto key = aInput.affinityKey_ ? aInput.affinityKey_
                                       : AffinityKey(aInput.prefixHashes_);
  if (key) {
    std::vector<std::size_t> fast;
    std::copy_if(candidates.begin(),
                 candidates.end(),
                 std::back_inserter(fast),
                 [&](std::size_t aIndex) { return !aViews[aIndex].isSlow_; });
    if (const auto chosen =
          ChooseByPrefix(aViews, fast, *key, aPolicy.affinityBound_)) {
      return chosen;
    }
  }
  return ChoosePowerOfTwo(aViews, std::move(candidates), aNow, aRandom);
}

} // namespace sycamoreward
