#include "edge/Collectors.h"

#include "routing/Rendezvous.h"

#include <algorithm>

namespace sycamoreward::edge {

std::vector<InstanceId>
ChooseStrongest(const std::vector<CollectorCandidate>& aCandidates,
                std::size_t aCount)
{
  if (aCandidates.size() <= kMaxMeshInstances) {
    return {};
  }
  std::vector<CollectorCandidate> live;
  for (const CollectorCandidate& candidate : aCandidates) {
    if (candidate.isLive_) {
      live.push_back(candidate);
    }
  }
  std::sort(
    live.begin(), live.end(), [](const auto& aLeft, const auto& aRight) {
      if (aLeft.strength_ != aRight.strength_) {
        return aLeft.strength_ > aRight.strength_;
      }
      return RendezvousScore(aLeft.id_.Value(), 0) <
             RendezvousScore(aRight.id_.Value(), 0);
    });
  std::vector<InstanceId> strongest;
  for (const CollectorCandidate& candidate : live) {
    if (strongest.size() < aCount) {
      strongest.push_back(candidate.id_);
    }
  }
  return strongest;
}

} // namespace sycamoreward::edge
