#include "recovery/Handover.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Computed tokens per byte of the handover message. The size includes the
// message's head and is taken as at least 1, so that an empty request has a
// finite value.
double
ValueOf(const HandoverCandidate& aCandidate)
{
  return double(aCandidate.computed_.Value()) /
         double(std::max<std::uint64_t>(aCandidate.size_.Value(), 1));
}

Duration
SendTime(Bytes aSize, Bytes aBytesPerSecond)
{
  const double rate =
    double(std::max<std::uint64_t>(aBytesPerSecond.Value(), 1));
  return Duration(
    static_cast<Duration::rep>(double(aSize.Value()) * 1e6 / rate));
}

bool
IsBefore(const HandoverCandidate& aLeft, const HandoverCandidate& aRight)
{
  const double left = ValueOf(aLeft);
  const double right = ValueOf(aRight);
  return left != right ? left > right : aLeft.request_ < aRight.request_;
}

} // namespace

std::vector<PeerIdentity>
ChooseSuccessors(const MemberList& aMembers)
{
  const auto self =
    std::find_if(aMembers.members_.begin(),
                 aMembers.members_.end(),
                 [&](const Member& aMember) {
                   return aMember.identity_.instance_ == aMembers.self_;
                 });
  std::vector<PeerIdentity> others;
  std::vector<PeerIdentity> own;
  for (const Member& member : aMembers.members_) {
    if (member.state_ != MemberState::Live ||
        member.identity_.instance_ == aMembers.self_) {
      continue;
    }
    const bool isOwn =
      self != aMembers.members_.end() &&
      member.identity_.failureDomain_ == self->identity_.failureDomain_;
    (isOwn ? own : others).push_back(member.identity_);
  }
  others.insert(others.end(), own.begin(), own.end());
  return others;
}

HandoverPlan
PlanHandover(const HandoverInput& aInput)
{
  HandoverPlan plan;
  std::vector<PeerIdentity> successors = ChooseSuccessors(aInput.members_);
  // Requests are spread over the successors in other failure domains if there
  // are any; only otherwise the own failure domain is used.
  const auto self =
    std::find_if(aInput.members_.members_.begin(),
                 aInput.members_.members_.end(),
                 [&](const Member& aMember) {
                   return aMember.identity_.instance_ == aInput.members_.self_;
                 });
  if (self != aInput.members_.members_.end()) {
    const auto own = std::find_if(
      successors.begin(), successors.end(), [&](const PeerIdentity& aPeer) {
        return aPeer.failureDomain_ == self->identity_.failureDomain_;
      });
    if (own != successors.begin()) {
      successors.erase(own, successors.end());
    }
  }
  std::vector<HandoverCandidate> order = aInput.requests_;
  std::sort(order.begin(), order.end(), IsBefore);
  const Duration usable =
    std::max(Duration(0), aInput.remaining_ - aInput.reserve_);
  Duration used{ 0 };
  std::size_t next = 0;
  for (const HandoverCandidate& candidate : order) {
    if (candidate.expectedEnd_ > Duration(0) &&
        candidate.expectedEnd_ < usable) {
      plan.finishing_.push_back(candidate.request_);
      continue;
    }
    const Duration cost = SendTime(candidate.size_, aInput.bytesPerSecond_);
    const bool hasTime = candidate.isSentUnrepeatable_ || used + cost <= usable;
    if (successors.empty() || !hasTime) {
      plan.lost_.push_back(candidate.request_);
      continue;
    }
    const InstanceId& successor =
      successors[next++ % successors.size()].instance_;
    plan.steps_.push_back({ candidate.request_,
                            successor,
                            candidate.isSentUnrepeatable_ ? usable : used });
    if (!candidate.isSentUnrepeatable_) {
      used += cost;
    }
  }
  std::stable_sort(plan.steps_.begin(),
                   plan.steps_.end(),
                   [](const HandoverStep& aLeft, const HandoverStep& aRight) {
                     return aLeft.delay_ < aRight.delay_;
                   });
  return plan;
}

} // namespace sycamoreward
