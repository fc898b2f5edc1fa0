#pragma once

// Computes which revision of the configuration is in force in each failure
// domain, from heartbeats. The result may be too low, but never too high.

#include "base/Clock.h"
#include "base/Ids.h"
#include "membership/Member.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// Lowest revision in each failure domain, by name.
using DomainRevisions = std::map<std::string, std::uint64_t>;

// Content of the last heartbeats of a peer.
struct PeerReport
{
  FailureDomainId failureDomain_;
  Revision revision_;
  // direct_ and relayed_ of the InForceReport of the peer.
  DomainRevisions direct_;
  DomainRevisions relayed_;
  MonotonicTime receivedAt_;
};

// Lowest revisions by the number of hops over which they were received. Each
// hop forwards only values received over fewer hops; otherwise a value could
// return to its sender and keep an old minimum alive forever.
struct InForceReport
{
  // Reported by members of the failure domain.
  DomainRevisions direct_;
  // Reported by peers in contact with members of the failure domain.
  DomainRevisions relayed_;
  // Reported by peers of those peers.
  DomainRevisions twiceRelayed_;
};

// Combines the reports of peers. aOwn is the revision of this instance. A live
// neighbour without a report counts as revision 0.
InForceReport
CollectInForce(const MemberList& aMembers,
               const std::vector<PeerIdentity>& aNeighbours,
               Revision aOwn,
               const std::map<InstanceId, PeerReport>& aPeers);

// Returns the value of each failure domain that came over the fewest hops, and
// 0 for failure domains with live members but without any report.
DomainRevisions
InForceByDomain(const InForceReport& aReport, const MemberList& aMembers);

} // namespace sycamoreward
