#include "configuration/InForce.h"

#include <algorithm>

namespace sycamoreward {

namespace {

void
Lower(DomainRevisions& aRevisions,
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
AddPeer(const PeerStatement& aPeer,
        const std::string& aOwnDomain,
        InForceStatements& aStatements)
{
  const std::string& domain = aPeer.failureDomain_.Value();
  if (domain.empty()) {
    return;
  }
  Lower(aStatements.direct_, domain, aPeer.revision_.Value());
  for (const auto& [name, revision] : aPeer.direct_) {
    // What a peer says of this instance's domain came from here in part.
    if (name != aOwnDomain) {
      Lower(name == domain ? aStatements.direct_ : aStatements.near_,
            name,
            revision);
    }
  }
  for (const auto& [name, revision] : aPeer.near_) {
    Lower(aStatements.far_, name, revision);
  }
}

} // namespace

InForceStatements
CollectInForce(const MemberList& aMembers,
               const std::vector<PeerIdentity>& aNeighbours,
               Revision aOwn,
               const std::map<InstanceId, PeerStatement>& aPeers)
{
  const std::string own = OwnDomain(aMembers);
  InForceStatements statements;
  statements.direct_[own] = aOwn.Value();
  for (const auto& [instance, peer] : aPeers) {
    AddPeer(peer, own, statements);
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
      Lower(statements.direct_, member.identity_.failureDomain_.Value(), 0);
    }
  }
  return statements;
}

DomainRevisions
InForceByDomain(const InForceStatements& aStatements,
                const MemberList& aMembers)
{
  // insert keeps what is there.
  DomainRevisions inForce = aStatements.direct_;
  inForce.insert(aStatements.near_.begin(), aStatements.near_.end());
  inForce.insert(aStatements.far_.begin(), aStatements.far_.end());
  for (const Member& member : aMembers.members_) {
    if (IsAlive(member)) {
      inForce.emplace(member.identity_.failureDomain_.Value(), 0);
    }
  }
  return inForce;
}

} // namespace sycamoreward
