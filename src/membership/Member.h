#pragma once

// Identity and state of the entry instances, as seen by one of them.

#include "base/Address.h"
#include "base/Ids.h"

#include <vector>

namespace sycamoreward {

// Identifies an entry instance. Both addresses are numeric IP addresses of the
// same process.
struct PeerIdentity
{
  InstanceId instance_;
  Incarnation incarnation_;
  FailureDomainId failureDomain_;
  RegionId region_;
  // Address of the protocol between entry instances.
  Address peerAddress_;
  // Address of the API for callers.
  Address callerAddress_;
  // CPU share of the instance in thousandths of a core; 0 when unknown.
  std::uint64_t strength_ = 0;
};

enum class MemberState
{
  Live,
  Suspect,
  Leaving,
  Dead
};

// An entry instance and its last known state.
struct Member
{
  PeerIdentity identity_;
  MemberState state_ = MemberState::Live;
};

// All members as seen by one instance, which is included in the list.
struct MemberList
{
  InstanceId self_;
  std::vector<Member> members_;
};

// Returns the live and suspect members of aRegion, or of all regions when
// aRegion is empty, in order of their rendezvous hash for aDuty, highest first.
// Instances with the same member list compute the same order.
std::vector<InstanceId>
RankForDuty(const MemberList& aMembers,
            const std::string& aDuty,
            const RegionId& aRegion);

} // namespace sycamoreward
