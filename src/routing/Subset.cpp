#include "routing/Subset.h"

#include "routing/Rendezvous.h"

#include <algorithm>

namespace sycamoreward {

namespace {

std::uint64_t
GroupOf(const std::string& aMember, std::uint64_t aGroups)
{
  std::uint64_t best = 0;
  for (std::uint64_t group = 1; group < aGroups; ++group) {
    if (RendezvousScore(aMember, group) > RendezvousScore(aMember, best)) {
      best = group;
    }
  }
  return best;
}

bool
ServesGroup(const InstanceId& aSelf,
            const std::vector<InstanceId>& aInstances,
            std::uint64_t aGroup)
{
  const std::uint64_t own = RendezvousScore(aSelf.Value(), aGroup);
  const auto rank = std::count_if(
    aInstances.begin(), aInstances.end(), [&](const InstanceId& aOther) {
      return aOther != aSelf && RendezvousScore(aOther.Value(), aGroup) > own;
    });
  return std::size_t(rank) < kInstancesPerGroup;
}

} // namespace

std::vector<Server>
ChooseSubset(const InstanceId& aSelf,
             const std::vector<InstanceId>& aInstances,
             const std::vector<Server>& aServers)
{
  const std::uint64_t groups = (aServers.size() + kGroupSize - 1) / kGroupSize;
  if (groups <= 1) {
    return aServers;
  }
  std::vector<bool> isServed(groups);
  bool servesAny = false;
  for (std::uint64_t group = 0; group < groups; ++group) {
    isServed[group] = ServesGroup(aSelf, aInstances, group);
    servesAny = servesAny || isServed[group];
  }
  if (!servesAny) {
    // Callers that hold an outdated address may still connect to this instance,
    // so it uses one group.
    isServed[GroupOf(aSelf.Value(), groups)] = true;
  }
  std::vector<Server> subset;
  std::copy_if(aServers.begin(),
               aServers.end(),
               std::back_inserter(subset),
               [&](const Server& aServer) {
                 return isServed[GroupOf(aServer.id_.Value(), groups)];
               });
  return subset;
}

} // namespace sycamoreward
