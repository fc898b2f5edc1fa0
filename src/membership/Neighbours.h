#pragma once

// Selects the members to which an instance sends heartbeats, and monitors which
// of them have to be probed.

#include "base/Clock.h"
#include "membership/Member.h"

#include <map>
#include <vector>

namespace sycamoreward {

// Number of neighbours in the own failure domain, and of those in others.
constexpr std::size_t kNeighboursPerGroup = 3;

// Returns up to 3 members of the own failure domain and 3 of others, with more
// of one group when the other has too few. Members are placed on 3 hash rings,
// and the successor on each ring is chosen. With independent random choices,
// about one member in 400 would be no one's neighbour and its failure would go
// undetected; on a ring, each member is the successor of another.
std::vector<InstanceId>
ChooseNeighbours(const MemberList& aMembers);

// Tracks missed heartbeats of the neighbours.
class NeighbourMonitor
{
public:
  // Replaces the set of neighbours, keeping the state of those that remain.
  void SetNeighbours(const std::vector<InstanceId>& aNeighbours,
                     MonotonicTime aNow);

  std::vector<InstanceId> Neighbours() const;

  // Records that a heartbeat or a reply to a probe arrived.
  void RecordContact(const InstanceId& aInstance, MonotonicTime aNow);

  // Returns the neighbours to probe: those that missed 3 heartbeats and have no
  // probe in progress. Marks them as being probed.
  std::vector<InstanceId> DueProbes(MonotonicTime aNow);

  // Records that a probe got no reply. Returns whether to suspect the
  // neighbour: false when it was in contact since the probe started.
  bool ProbeFailed(const InstanceId& aInstance, MonotonicTime aNow);

  // Restarts the timeout of each neighbour after this instance was suspended.
  void Restart(MonotonicTime aNow);

private:
  struct Watch
  {
    MonotonicTime lastHeard_;
    bool isProbing_ = false;
  };
  std::map<InstanceId, Watch> watches_;
};

} // namespace sycamoreward
