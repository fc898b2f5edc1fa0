#pragma once

// Which members an instance sends heartbeats to, and when a silent one is
// probed.

#include "base/Clock.h"
#include "membership/Member.h"

#include <map>
#include <vector>

namespace sycamoreward {

constexpr std::size_t kNeighboursPerGroup = 3;

// Up to 3 members of the own failure domain and 3 of others; more of one group
// where the other has too few. Members are put on 3 hash rings, and the next
// one on each ring is taken. With choices that are independent of each other,
// about one member in 400 would be nobody's neighbour and its failure would not
// be found; on a ring, each member is the next one of another.
std::vector<InstanceId>
ChooseNeighbours(const MemberList& aMembers);

// Missed heartbeats of the neighbours.
class NeighbourMonitor
{
public:
  // Keeps what is known of those that stay.
  void SetNeighbours(const std::vector<InstanceId>& aNeighbours,
                     MonotonicTime aNow);

  std::vector<InstanceId> Neighbours() const;

  // A heartbeat or a probe's reply arrived.
  void RecordContact(const InstanceId& aInstance, MonotonicTime aNow);

  // Neighbours to probe now: silent for 3 heartbeats. Each is returned once
  // until its probe has ended.
  std::vector<InstanceId> DueProbes(MonotonicTime aNow);

  // A probe got no reply. Returns whether the neighbour is to be suspected:
  // false when it was heard of meanwhile.
  bool ProbeFailed(const InstanceId& aInstance, MonotonicTime aNow);

  // Gives each neighbour a fresh period, after this instance was paused.
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
