#pragma once

// Which revision of the configuration is in force in each failure domain, from
// what heartbeats say. The value may be too low, never too high.

#include "base/Clock.h"
#include "base/Ids.h"
#include "membership/Member.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// Lowest revision by failure domain.
using DomainRevisions = std::map<std::string, std::uint64_t>;

// What the last heartbeats of a peer said.
struct PeerReport
{
  FailureDomainId failureDomain_;
  Revision revision_;
  // The direct_ and relayed_ of its InForceReport.
  DomainRevisions direct_;
  DomainRevisions relayed_;
  MonotonicTime receivedAt_;
};

// Lowest revisions by the way on which they came. Each step passes on only what
// came over one step less: a value that could return to its sender would keep
// an old minimum alive for ever.
struct InForceReport
{
  // From members of the domain.
  DomainRevisions direct_;
  // From peers that have contact with members of the domain.
  DomainRevisions relayed_;
  // From peers of those.
  DomainRevisions twiceRelayed_;
};

// Combines the statements of peers. aOwn is the revision of this instance. A
// neighbour that is alive and has not been heard of counts as revision 0.
InForceReport
CollectInForce(const MemberList& aMembers,
               const std::vector<PeerIdentity>& aNeighbours,
               Revision aOwn,
               const std::map<InstanceId, PeerReport>& aPeers);

// The value of each failure domain on the shortest way; 0 for one with live
// members of which nothing is known.
DomainRevisions
InForceByDomain(const InForceReport& aReport, const MemberList& aMembers);

} // namespace sycamoreward
