#include "edge/Collectors.h"

#include <xxhash.h>

#include <algorithm>

namespace sycamoreward::edge {

namespace {

std::uint64_t
Score(const InstanceId& aId)
{
  return XXH64(aId.Value().data(), aId.Value().size(), 0);
}

} // namespace

std::vector<InstanceId>
ChooseStrongest(const std::vector<CollectorCandidate>& aCandidates,
                std::size_t aCount)
{
  if (aCandidates.size() <= kMostMeshInstances) {
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
      return Score(aLeft.id_) < Score(aRight.id_);
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
