#include "configuration/InForce.h"

#include <algorithm>

namespace sycamoreward {

namespace {

void
LowerTo(DomainRevisions& aRevisions,
        const std::string& aDomain,
        std::uint64_t aRevision)
{
  const auto place = aRevisions.emplace(aDomain, aRevision).first;
  place->second = std::min(place->second, aRevision);
}

bool
IsAlive(const Member& aMember)
{
  return aMember.state_ == MemberState::Live ||
         aMember.state_ == MemberState::Suspect;
}

std::string
OwnDomain(const MemberList& aMembers)
{
  for (const Member& member : aMembers.members_) {
    if (member.identity_.instance_ == aMembers.self_) {
      return member.identity_.failureDomain_.Value();
    }
  }
  return "";
}

void
AddPeer(const PeerReport& aPeer,
        const std::string& aOwnDomain,
        InForceReport& aReport)
{
  const std::string& domain = aPeer.failureDomain_.Value();
  if (domain.empty()) {
    return;
  }
  LowerTo(aReport.direct_, domain, aPeer.revision_.Value());
  for (const auto& [name, revision] : aPeer.direct_) {
    // A peer's value for the own domain is partly derived from this instance's
    // own reports.
    if (name != aOwnDomain) {
      LowerTo(
        name == domain ? aReport.direct_ : aReport.relayed_, name, revision);
    }
  }
  for (const auto& [name, revision] : aPeer.relayed_) {
    LowerTo(aReport.twiceRelayed_, name, revision);
  }
}

} // namespace

InForceReport
CollectInForce(const MemberList& aMembers,
               const std::vector<PeerIdentity>& aNeighbours,
               Revision aOwn,
               const std::map<InstanceId, PeerReport>& aPeers)
{
  const std::string own = OwnDomain(aMembers);
  InForceReport report;
  report.direct_[own] = aOwn.Value();
  for (const auto& [instance, peer] : aPeers) {
    AddPeer(peer, own, report);
  }
  for (const Member& member : aMembers.members_) {
    const InstanceId& instance = member.identity_.instance_;
    const bool isNeighbour =
      std::any_of(aNeighbours.begin(),
                  aNeighbours.end(),
                  [&](const PeerIdentity& aNeighbour) {
                    return aNeighbour.instance_ == instance;
                  });
    if (isNeighbour && IsAlive(member) && aPeers.count(instance) == 0) {
      LowerTo(report.direct_, member.identity_.failureDomain_.Value(), 0);
    }
  }
  return report;
}

DomainRevisions
InForceByDomain(const InForceReport& aReport, const MemberList& aMembers)
{
  // insert keeps existing values, so fewer hops take precedence.
  DomainRevisions inForce = aReport.direct_;
  inForce.insert(aReport.relayed_.begin(), aReport.relayed_.end());
  inForce.insert(aReport.twiceRelayed_.begin(), aReport.twiceRelayed_.end());
  for (const Member& member : aMembers.members_) {
    if (IsAlive(member)) {
      inForce.emplace(member.identity_.failureDomain_.Value(), 0);
    }
  }
  return inForce;
}

} // namespace sycamoreward
