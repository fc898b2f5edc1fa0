#pragma once

// Chooses the placer of a request in large systems, where a few strong
// instances place the requests of all. Each engine is owned by one placer,
// which therefore knows exactly what the engine has to read. Aggregated reports
// would be about a second old, and in that time an engine receives prompts from
// several other instances.

#include "base/Clock.h"
#include "base/Ids.h"
#include "edge/WireCodec.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace sycamoreward::edge {

// Maximum number of placers. Each handles a few hundred requests per second on
// half a core.
constexpr std::size_t kMaxPlacers = 6;

// What this instance knows about a placer.
struct PlacerState
{
  InstanceId id_;
  // Mean time that the placer's engines need for their unread tokens, in
  // milliseconds, as last reported, and when the report arrived.
  double loadMs_ = 0;
  MonotonicTime loadReceived_;
  // The placer did not answer and is not asked again before this time.
  MonotonicTime avoidUntil_;
};

// Number of placers, out of aPlacers, that share a pool of aEngines engines.
// Each placer needs several engines to choose from.
std::size_t
PlacerCount(std::size_t aPlacers, std::size_t aEngines);

// Index of the placer that owns the engine, among the first aCount.
std::size_t
OwnerOf(const ServerId& aEngine,
        const std::vector<PlacerState>& aPlacers,
        std::size_t aCount);

// Index of the placer to ask for a request, among the first aCount. Requests of
// one session go to the same placer, whose engines have the session's parts
// cached, unless it is much busier than the next one. aDraw is a random number
// from 0 to 1. Returns nullopt when no placer is available.
std::optional<std::size_t>
ChoosePlacer(const std::vector<PlacerState>& aPlacers,
             std::size_t aCount,
             const std::vector<PromptPart>& aParts,
             MonotonicTime aNow,
             double aDraw);

} // namespace sycamoreward::edge
