#include "membership/Member.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sycamoreward {

std::vector<InstanceId>
RankForDuty(const MemberList& aMembers,
            const std::string& aDuty,
            const RegionId& aRegion)
{
  std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
  for (const Member& member : aMembers.members_) {
    const bool isUsable = member.state_ == MemberState::Live ||
                          member.state_ == MemberState::Suspect;
    const bool isInRegion =
      aRegion.Value().empty() || member.identity_.region_ == aRegion;
    if (isUsable && isInRegion) {
      const InstanceId& instance = member.identity_.instance_;
      const std::string text = aDuty + "/" + instance.Value();
      ranked.emplace_back(XXH64(text.data(), text.size(), 0), instance);
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a1, const auto& a2) {
    return a1.first != a2.first ? a1.first > a2.first : a1.second < a2.second;
  });
  std::vector<InstanceId> result;
  result.reserve(ranked.size());
  for (auto& entry : ranked) {
    result.push_back(std::move(entry.second));
  }
  return result;
}

} // namespace sycamoreward
