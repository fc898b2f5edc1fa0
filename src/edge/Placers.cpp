#include "edge/Placers.h"

#include "routing/Rendezvous.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Minimum mean number of engines of each placer when several share a pool.
constexpr std::size_t kEnginesPerPlacer = 8;
// Prompts with fewer shared tokens ignore session affinity: an engine reads the
// tokens again faster than another placer could be asked.
constexpr std::uint32_t kMinSharedTokens = 500;
// The next placer is asked when its load is this much lower. This is about half
// the time that an engine needs to read the shared parts of a long prompt.
constexpr double kLoadDifferenceMs = 80;
// A reported load is used for this time and counts as 0 afterwards.
constexpr Duration kMaxLoadAge = std::chrono::seconds(3);

double
Load(const PlacerState& aPlacer, MonotonicTime aNow)
{
  return aNow - aPlacer.loadReceived_ < kMaxLoadAge ? aPlacer.loadMs_ : 0;
}

// Id of the shared part for session affinity; 0 when the shared parts are too
// short.
std::uint64_t
SharedPart(const std::vector<PromptPart>& aParts)
{
  std::uint32_t shared = 0;
  for (std::size_t index = 0; index + 1 < aParts.size(); ++index) {
    shared += aParts[index].tokens_;
  }
  return shared < kMinSharedTokens ? 0 : aParts[aParts.size() - 2].id_;
}

} // namespace

std::size_t
PlacerCount(std::size_t aPlacers, std::size_t aEngines)
{
  return std::min({ aPlacers,
                    kMaxPlacers,
                    std::max<std::size_t>(1, aEngines / kEnginesPerPlacer) });
}

std::size_t
OwnerOf(const ServerId& aEngine,
        const std::vector<PlacerState>& aPlacers,
        std::size_t aCount)
{
  const std::uint64_t key = RendezvousScore(aEngine.Value(), 0);
  std::size_t best = 0;
  for (std::size_t index = 1; index < aCount; ++index) {
    if (RendezvousScore(aPlacers[index].id_.Value(), key) >
        RendezvousScore(aPlacers[best].id_.Value(), key)) {
      best = index;
    }
  }
  return best;
}

std::optional<std::size_t>
ChoosePlacer(const std::vector<PlacerState>& aPlacers,
             std::size_t aCount,
             const std::vector<PromptPart>& aParts,
             MonotonicTime aNow,
             double aDraw)
{
  std::vector<std::size_t> order;
  for (std::size_t index = 0; index < aCount; ++index) {
    if (aPlacers[index].avoidUntil_ <= aNow) {
      order.push_back(index);
    }
  }
  if (order.empty()) {
    return std::nullopt;
  }
  const std::uint64_t shared = SharedPart(aParts);
  const std::uint64_t key =
    shared != 0 ? shared : std::uint64_t(aDraw * 4294967296.0);
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return RendezvousScore(aPlacers[aLeft].id_.Value(), key) >
             RendezvousScore(aPlacers[aRight].id_.Value(), key);
    });
  if (order.size() > 1 && Load(aPlacers[order[0]], aNow) >
                            Load(aPlacers[order[1]], aNow) +
                              (shared != 0 ? kLoadDifferenceMs : 0)) {
    return order[1];
  }
  return order[0];
}

} // namespace sycamoreward::edge
