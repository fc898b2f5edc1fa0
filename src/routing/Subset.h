#pragma once

// Which servers of a pool an entry instance uses, so that neither connections
// nor polls grow with the size of the pool.

#include "base/Ids.h"
#include "routing/Server.h"

#include <vector>

namespace sycamoreward {

constexpr std::size_t kGroupSize = 26;
// Instances that serve a group, where there are that many.
constexpr std::size_t kInstancesPerGroup = 4;

// Splits the servers into groups of about kGroupSize by rendezvous rank and
// returns those of the groups that aSelf serves. A pool of one group is used
// whole by all instances. With 60 instances and 400 servers an instance has 35
// servers on average and 132 at most. aInstances are the live entry instances.
std::vector<Server>
ChooseSubset(const InstanceId& aSelf,
             const std::vector<InstanceId>& aInstances,
             const std::vector<Server>& aServers);

} // namespace sycamoreward
