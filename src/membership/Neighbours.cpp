#include "membership/Neighbours.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace sycamoreward {

namespace {

constexpr Duration kMissedBeatsTimeout = std::chrono::seconds(3);

using Ring = std::vector<std::pair<std::uint64_t, const Member*>>;

// Returns the members in the order in which they follow the own position on
// ring aRing.
Ring
SuccessorsOnRing(std::size_t aRing, const MemberList& aMembers)
{
  Ring ring;
  std::uint64_t self = 0;
  for (const Member& member : aMembers.members_) {
    const InstanceId& instance = member.identity_.instance_;
    const std::uint64_t position =
      XXH64(instance.Value().data(), instance.Value().size(), aRing);
    if (instance == aMembers.self_) {
      self = position;
    } else if (member.state_ != MemberState::Dead) {
      ring.emplace_back(position, &member);
    }
  }
  // Distance from the own position; unsigned arithmetic wraps around the ring.
  for (auto& [position, member] : ring) {
    position -= self;
  }
  std::sort(ring.begin(), ring.end());
  return ring;
}

FailureDomainId
OwnDomain(const MemberList& aMembers)
{
  for (const Member& member : aMembers.members_) {
    if (member.identity_.instance_ == aMembers.self_) {
      return member.identity_.failureDomain_;
    }
  }
  return {};
}

bool
Contains(const std::vector<InstanceId>& aList, const InstanceId& aInstance)
{
  return std::find(aList.begin(), aList.end(), aInstance) != aList.end();
}

template<typename Predicate>
void
AddNext(const Ring& aRing,
        std::vector<InstanceId>& aChosen,
        const Predicate& aPredicate)
{
  for (const auto& [distance, member] : aRing) {
    if (aPredicate(*member) &&
        !Contains(aChosen, member->identity_.instance_)) {
      aChosen.push_back(member->identity_.instance_);
      return;
    }
  }
}

} // namespace

std::vector<InstanceId>
ChooseNeighbours(const MemberList& aMembers)
{
  const FailureDomainId own = OwnDomain(aMembers);
  std::vector<Ring> rings;
  for (std::size_t ring = 0; ring < kNeighboursPerGroup; ++ring) {
    rings.push_back(SuccessorsOnRing(ring, aMembers));
  }
  std::vector<InstanceId> chosen;
  for (const Ring& ring : rings) {
    AddNext(ring, chosen, [&](const Member& aMember) {
      return aMember.identity_.failureDomain_ == own;
    });
    AddNext(ring, chosen, [&](const Member& aMember) {
      return aMember.identity_.failureDomain_ != own;
    });
  }
  for (const Ring& ring : rings) {
    while (chosen.size() < 2 * kNeighboursPerGroup) {
      const std::size_t before = chosen.size();
      AddNext(ring, chosen, [](const Member&) { return true; });
      if (chosen.size() == before) {
        break;
      }
    }
  }
  return chosen;
}

void
NeighbourMonitor::SetNeighbours(const std::vector<InstanceId>& aNeighbours,
                                MonotonicTime aNow)
{
  std::map<InstanceId, Watch> watches;
  for (const InstanceId& instance : aNeighbours) {
    const auto known = watches_.find(instance);
    watches[instance] =
      known != watches_.end() ? known->second : Watch{ aNow, false };
  }
  watches_ = std::move(watches);
}

std::vector<InstanceId>
NeighbourMonitor::Neighbours() const
{
  std::vector<InstanceId> neighbours;
  for (const auto& [instance, watch] : watches_) {
    neighbours.push_back(instance);
  }
  return neighbours;
}

void
NeighbourMonitor::RecordContact(const InstanceId& aInstance, MonotonicTime aNow)
{
  const auto found = watches_.find(aInstance);
  if (found != watches_.end()) {
    found->second = Watch{ aNow, false };
  }
}

std::vector<InstanceId>
NeighbourMonitor::DueProbes(MonotonicTime aNow)
{
  std::vector<InstanceId> due;
  for (auto& [instance, watch] : watches_) {
    if (!watch.isProbing_ && aNow - watch.lastHeard_ >= kMissedBeatsTimeout) {
      watch.isProbing_ = true;
      due.push_back(instance);
    }
  }
  return due;
}

bool
NeighbourMonitor::ProbeFailed(const InstanceId& aInstance, MonotonicTime aNow)
{
  const auto found = watches_.find(aInstance);
  if (found == watches_.end() || !found->second.isProbing_) {
    return false;
  }
  found->second.isProbing_ = false;
  return aNow - found->second.lastHeard_ >= kMissedBeatsTimeout;
}

void
NeighbourMonitor::Restart(MonotonicTime aNow)
{
  for (auto& [instance, watch] : watches_) {
    watch.lastHeard_ = aNow;
    // A probe sent before the suspension gives no information about the time
    // after it.
    watch.isProbing_ = false;
  }
}

} // namespace sycamoreward
