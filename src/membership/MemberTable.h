#pragma once

// What one instance knows of all members, and the events that it still has to
// pass on. Knowledge is ordered by incarnation and, within one, by state: live,
// suspect, leaving, dead. Only the member itself raises its incarnation.

#include "base/Clock.h"
#include "membership/Member.h"
#include "peer/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamoreward {

// Heartbeats in which an event is passed on: two to each neighbour.
constexpr unsigned kEventTransmissions = 12;

class MemberTable
{
public:
  explicit MemberTable(const PeerIdentity& aSelf);

  const MemberList& List() const { return list_; }
  const PeerIdentity& Self() const { return self_; }

  // The identity of a member that is not dead.
  std::optional<PeerIdentity> Find(const InstanceId& aInstance) const;

  // Takes an event in. Returns whether it changed anything. A wrong claim about
  // this instance raises its incarnation, which is then passed on.
  bool Apply(const MemberEvent& aEvent, MonotonicTime aNow);

  // This instance leaves.
  void Leave();

  // A neighbour did not answer a probe.
  void SuspectNeighbour(const InstanceId& aInstance, MonotonicTime aNow);

  // A sign of life came from the member itself.
  void RecordContact(const InstanceId& aInstance);

  // Declares dead those suspected for 3 s and forgets those dead for 5
  // minutes. Returns whether anything changed.
  bool Expire(MonotonicTime aNow);

  // Starts the time of each suspicion anew, after this instance was paused.
  void RestartSuspicions(MonotonicTime aNow);

  // Up to aMaxEvents events to send in one heartbeat, those sent least often
  // first. Counts them as sent once.
  std::vector<MemberEvent> TakeEvents(std::size_t aMaxEvents);

  // Whether an event has not been sent at all yet.
  bool HasNewEvents() const;

  // All that is known, for an instance that joins.
  std::vector<MemberEvent> AllEvents() const;

  // One entry of the table after the other, sent with heartbeats to repair
  // what lost messages left out.
  MemberEvent NextRefreshEvent();

  // What a heartbeat's sender has to be told about itself: that it is thought
  // suspect or dead, so that it can refute this. Empty otherwise.
  std::optional<MemberEvent> CorrectionFor(const PeerIdentity& aFrom) const;

private:
  struct Entry
  {
    PeerIdentity identity_;
    MemberState state_ = MemberState::Live;
    // Since when it is suspect or dead, or does not answer while it leaves.
    std::optional<MonotonicTime> unresponsiveSince_;
  };
  struct QueuedEvent
  {
    MemberEvent event_;
    unsigned sent_ = 0;
  };

  bool ApplyToSelf(const MemberEvent& aEvent);
  void Enqueue(const MemberEvent& aEvent);
  void Rebuild();

  PeerIdentity self_;
  bool isLeaving_ = false;
  std::map<InstanceId, Entry> entries_;
  // At most one event for each member.
  std::map<InstanceId, QueuedEvent> queue_;
  InstanceId lastRefreshed_;
  MemberList list_;
};

} // namespace sycamoreward
