#pragma once

// Chooses the instances that gather reports and read the store for the others.
// A message from each instance to each other one would not fit the processor
// share of an instance once there are dozens.

#include "base/Ids.h"

#include <cstdint>
#include <vector>

namespace sycamoreward::edge {

struct CollectorCandidate
{
  InstanceId id_;
  // Processor share; stronger instances gather first.
  std::uint64_t strength_ = 0;
  bool isLive_ = false;
};

// Up to this number of instances tell each other everything.
constexpr std::size_t kMaxMeshInstances = 10;
// Enough that a domain can fail while one of them starts again.
constexpr std::size_t kCollectors = 3;

// The aCount strongest live instances, the first to gather first. The same on
// all instances that know the same candidates. Empty when all tell each other
// everything.
std::vector<InstanceId>
ChooseStrongest(const std::vector<CollectorCandidate>& aCandidates,
                std::size_t aCount);

} // namespace sycamoreward::edge
