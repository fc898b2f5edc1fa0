#pragma once

// What an entry instance knows of another entry instance.

#include "base/Address.h"
#include "base/Ids.h"

#include <vector>

namespace sycamoreward {

// Who an entry instance is. Both addresses are IP numbers of the same process.
struct PeerIdentity
{
  InstanceId instance_;
  Incarnation incarnation_;
  FailureDomainId failureDomain_;
  RegionId region_;
  // Port of the inner protocol.
  Address peerAddress_;
  // Port of the callers' API.
  Address callerAddress_;
  // Processor share of the machine in thousandths of a core; 0 when unknown.
  std::uint64_t strength_ = 0;
};

enum class MemberState
{
  Live,
  Suspect,
  Leaving,
  Dead
};

struct Member
{
  PeerIdentity identity_;
  MemberState state_ = MemberState::Live;
};

// The members as one instance sees them; it is among them itself.
struct MemberList
{
  InstanceId self_;
  std::vector<Member> members_;
};

// The members that can be given a duty, best first by rendezvous rank for
// aDuty: live ones of aRegion, or of all regions when aRegion is empty. The
// same on each instance that has the same list.
std::vector<InstanceId>
RankForDuty(const MemberList& aMembers,
            const std::string& aDuty,
            const RegionId& aRegion);

} // namespace sycamoreward
