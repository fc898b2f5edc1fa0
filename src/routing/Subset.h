#pragma once

// Selects the servers of a pool that an entry instance uses, so that its
// connections and polls don't grow with the size of the pool.

#include "base/Ids.h"
#include "routing/Server.h"

#include <vector>

namespace sycamoreward {

// Target number of servers in a group.
constexpr std::size_t kGroupSize = 26;
// Number of instances that serve each group, if there are enough instances.
constexpr std::size_t kInstancesPerGroup = 4;

// Splits the servers into groups of about kGroupSize by rendezvous hashing, and
// returns the servers of the groups that aSelf serves. A pool that fits one
// group is used entirely by all instances. With 60 instances and 400 servers,
// an instance uses 35 servers on average and 132 at most. aInstances are the
// live entry instances.
std::vector<Server>
ChooseSubset(const InstanceId& aSelf,
             const std::vector<InstanceId>& aInstances,
             const std::vector<Server>& aServers);

} // namespace sycamoreward
