#pragma once

// Chooses the collectors: the instances that collect reports and read the store
// for the others. With dozens of instances, a message from each to every other
// would exceed the processor share of an instance.

#include "base/Ids.h"

#include <cstdint>
#include <vector>

namespace sycamoreward::edge {

struct CollectorCandidate
{
  InstanceId id_;
  // Processor share. Stronger instances are chosen first.
  std::uint64_t strength_ = 0;
  bool isLive_ = false;
};

// With up to this number of instances, each one reports to all others.
constexpr std::size_t kMaxMeshInstances = 10;
// Enough that a failure domain can fail while one of them restarts.
constexpr std::size_t kCollectors = 3;

// Returns the aCount strongest live instances in order of preference. All
// instances that know the same candidates get the same result. Empty when there
// are few enough instances for a mesh.
std::vector<InstanceId>
ChooseStrongest(const std::vector<CollectorCandidate>& aCandidates,
                std::size_t aCount);

} // namespace sycamoreward::edge
