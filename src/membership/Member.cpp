#include "membership/Member.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace sycamoreward {

namespace {

bool
CanHoldDuty(const Member& aMember, const RegionId& aRegion)
{
  const bool isPresent = aMember.state_ == MemberState::Live ||
                         aMember.state_ == MemberState::Suspect;
  return isPresent &&
         (aRegion.Value().empty() || aMember.identity_.region_ == aRegion);
}

} // namespace

std::vector<InstanceId>
RankForDuty(const MemberList& aMembers,
            const std::string& aDuty,
            const RegionId& aRegion)
{
  std::vector<std::pair<std::uint64_t, InstanceId>> scored;
  for (const Member& member : aMembers.members_) {
    if (CanHoldDuty(member, aRegion)) {
      const InstanceId& instance = member.identity_.instance_;
      const std::string text = aDuty + "/" + instance.Value();
      scored.emplace_back(XXH64(text.data(), text.size(), 0), instance);
    }
  }
  std::sort(
    scored.begin(), scored.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                         : aLeft.second < aRight.second;
    });
  std::vector<InstanceId> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, instance] : scored) {
    ranked.push_back(std::move(instance));
  }
  return ranked;
}

} // namespace sycamoreward
