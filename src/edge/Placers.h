#pragma once

// Chooses which instance places a request, where a few strong instances place
// the requests of many. Each engine belongs to one placer, which so knows what
// the engine has to read. Sums of reports are about a second old, in which an
// engine gets prompts of several other instances.

#include "base/Clock.h"
#include "base/Ids.h"
#include "edge/WireCodec.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace sycamoreward::edge {

// Most instances that place the requests of all. Each takes some hundred a
// second on half of a core.
constexpr std::size_t kMaxPlacers = 6;

// What an instance knows of a placer.
struct PlacerState
{
  InstanceId id_;
  // Mean time that its engines need for what they have to read, in
  // milliseconds, as it last said, and when.
  double loadMs_ = 0;
  MonotonicTime loadReceived_;
  // It did not answer; others are asked until then.
  MonotonicTime avoidUntil_;
};

// Number of the instances that place requests on a pool of that many engines: a
// placer needs several engines to choose from.
std::size_t
PlacerCount(std::size_t aPlacers, std::size_t aEngines);

// Index of the placer that the engine belongs to, among the first aCount.
std::size_t
OwnerOf(const ServerId& aEngine,
        const std::vector<PlacerState>& aPlacers,
        std::size_t aCount);

// Index of the placer to ask for a request, among the first aCount. Requests of
// one session go to the same one, whose engines hold the session's parts,
// unless that is much busier than the next. aDraw is a random number from 0 to
// 1. Empty when none is to be asked.
std::optional<std::size_t>
ChoosePlacer(const std::vector<PlacerState>& aPlacers,
             std::size_t aCount,
             const std::vector<PromptPart>& aParts,
             MonotonicTime aNow,
             double aDraw);

} // namespace sycamoreward::edge
