#pragma once

// The state of all members as known to one instance, and the queue of events to
// disseminate. An event supersedes another with a lower incarnation or, within
// an incarnation, a lower state in the order live, suspect, leaving, dead. Only
// the member itself raises its incarnation.

#include "base/Clock.h"
#include "membership/Member.h"
#include "peer/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamoreward {

// Number of heartbeats that carry an event: two to each of the neighbours.
constexpr unsigned kEventTransmissions = 12;

class MemberTable
{
public:
  explicit MemberTable(const PeerIdentity& aSelf);

  const MemberList& List() const { return list_; }
  const PeerIdentity& Self() const { return self_; }

  // Returns the identity of a member that is not dead, if it is known.
  std::optional<PeerIdentity> Find(const InstanceId& aInstance) const;

  // Applies a received event and returns whether the table changed. An
  // incorrect event about this instance is refuted: the incarnation is raised
  // and the new one disseminated.
  bool Apply(const MemberEvent& aEvent, MonotonicTime aNow);

  // Marks this instance as leaving.
  void Leave();

  // Suspects a neighbour that did not answer a probe.
  void SuspectNeighbour(const InstanceId& aInstance, MonotonicTime aNow);

  // Records that a message arrived from the member itself.
  void RecordContact(const InstanceId& aInstance);

  // Declares members dead that have been suspect, or unresponsive while
  // leaving, for 3 s, and removes members that have been dead for 5 minutes.
  // Returns whether the table changed.
  bool Expire(MonotonicTime aNow);

  // Restarts the timeout of each suspicion after this instance was suspended.
  void RestartSuspicions(MonotonicTime aNow);

  // Returns up to aMaxEvents events to send in one heartbeat, those sent least
  // often first, and increments their transmission counts.
  std::vector<MemberEvent> TakeEvents(std::size_t aMaxEvents);

  // Returns whether the queue has an event that was never sent.
  bool HasNewEvents() const;

  // Returns the state of all members, for an instance that joins.
  std::vector<MemberEvent> AllEvents() const;

  // Returns the next table entry in round-robin order. Sent with heartbeats, it
  // repairs gaps caused by lost messages.
  MemberEvent NextRefreshEvent();

  // Returns the event to send to aFrom when this table has it as suspect or
  // dead, so that it can refute this; empty otherwise.
  std::optional<MemberEvent> CorrectionFor(const PeerIdentity& aFrom) const;

private:
  struct Entry
  {
    PeerIdentity identity_;
    MemberState state_ = MemberState::Live;
    // Time since which the member has been suspect or dead, or unresponsive
    // while leaving.
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
  // Events to disseminate, at most one for each member.
  std::map<InstanceId, QueuedEvent> queue_;
  InstanceId lastRefreshed_;
  MemberList list_;
};

} // namespace sycamoreward
