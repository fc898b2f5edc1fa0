#include "membership/MemberTable.h"

#include <algorithm>
#include <utility>

namespace sycamoreward {

namespace {

constexpr Duration kSuspicionTimeout = std::chrono::seconds(3);
constexpr Duration kDeadMemberRetention = std::chrono::minutes(5);
// Maximum number of members, to limit memory when events carry forged names.
constexpr std::size_t kMaxMembers = 4096;

int
PrecedenceOf(MemberState aState)
{
  switch (aState) {
    case MemberState::Live:
      return 0;
    case MemberState::Suspect:
      return 1;
    case MemberState::Leaving:
      return 2;
    case MemberState::Dead:
      return 3;
  }
  return 0;
}

} // namespace

MemberTable::MemberTable(const PeerIdentity& aSelf)
  : self_(aSelf)
{
  Enqueue({ self_, MemberState::Live });
  Rebuild();
}

std::optional<PeerIdentity>
MemberTable::Find(const InstanceId& aInstance) const
{
  const auto found = entries_.find(aInstance);
  if (found == entries_.end() || found->second.state_ == MemberState::Dead) {
    return std::nullopt;
  }
  return found->second.identity_;
}

bool
MemberTable::Apply(const MemberEvent& aEvent, MonotonicTime aNow)
{
  const InstanceId& instance = aEvent.identity_.instance_;
  if (instance == self_.instance_) {
    return ApplyToSelf(aEvent);
  }
  const auto found = entries_.find(instance);
  if (found == entries_.end()) {
    if (entries_.size() >= kMaxMembers || instance.Value().empty()) {
      return false;
    }
  } else {
    const Incarnation known = found->second.identity_.incarnation_;
    const Incarnation incoming = aEvent.identity_.incarnation_;
    if (incoming < known ||
        (incoming == known &&
         PrecedenceOf(aEvent.state_) <= PrecedenceOf(found->second.state_))) {
      return false;
    }
  }
  Entry entry{ aEvent.identity_, aEvent.state_, std::nullopt };
  if (aEvent.state_ == MemberState::Suspect ||
      aEvent.state_ == MemberState::Dead) {
    entry.unresponsiveSince_ = aNow;
  }
  entries_[instance] = std::move(entry);
  Enqueue(aEvent);
  Rebuild();
  return true;
}

bool
MemberTable::ApplyToSelf(const MemberEvent& aEvent)
{
  const Incarnation incoming = aEvent.identity_.incarnation_;
  const bool isWrongState =
    aEvent.state_ == MemberState::Suspect ||
    aEvent.state_ == MemberState::Dead ||
    (aEvent.state_ == MemberState::Leaving && !isLeaving_);
  // A higher incarnation stems from an earlier start of this instance whose
  // wall clock was ahead.
  if (incoming < self_.incarnation_ ||
      (incoming == self_.incarnation_ && !isWrongState)) {
    return false;
  }
  self_.incarnation_ = Incarnation(incoming.Value() + 1);
  Enqueue({ self_, isLeaving_ ? MemberState::Leaving : MemberState::Live });
  Rebuild();
  return true;
}

void
MemberTable::Leave()
{
  isLeaving_ = true;
  Enqueue({ self_, MemberState::Leaving });
  Rebuild();
}

void
MemberTable::SuspectNeighbour(const InstanceId& aInstance, MonotonicTime aNow)
{
  const auto found = entries_.find(aInstance);
  if (found == entries_.end()) {
    return;
  }
  if (found->second.state_ == MemberState::Live) {
    Apply({ found->second.identity_, MemberState::Suspect }, aNow);
  } else if (found->second.state_ == MemberState::Leaving &&
             !found->second.unresponsiveSince_.has_value()) {
    // Leaving takes precedence over suspect, so that refuting a suspicion never
    // makes a leaving member live again. The member is declared dead after the
    // same timeout.
    found->second.unresponsiveSince_ = aNow;
  }
}

void
MemberTable::RecordContact(const InstanceId& aInstance)
{
  const auto found = entries_.find(aInstance);
  if (found != entries_.end() && found->second.state_ == MemberState::Leaving) {
    found->second.unresponsiveSince_.reset();
  }
}

bool
MemberTable::Expire(MonotonicTime aNow)
{
  std::vector<MemberEvent> dead;
  bool isChanged = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& entry = it->second;
    const Duration age = entry.unresponsiveSince_.has_value()
                           ? aNow - *entry.unresponsiveSince_
                           : Duration(0);
    if (entry.state_ != MemberState::Dead &&
        entry.unresponsiveSince_.has_value() && age >= kSuspicionTimeout) {
      dead.push_back({ entry.identity_, MemberState::Dead });
    } else if (entry.state_ == MemberState::Dead &&
               age >= kDeadMemberRetention) {
      queue_.erase(it->first);
      it = entries_.erase(it);
      isChanged = true;
      continue;
    }
    ++it;
  }
  for (const MemberEvent& event : dead) {
    isChanged = Apply(event, aNow) || isChanged;
  }
  Rebuild();
  return isChanged;
}

void
MemberTable::RestartSuspicions(MonotonicTime aNow)
{
  for (auto& [instance, entry] : entries_) {
    if (entry.unresponsiveSince_.has_value() &&
        entry.state_ != MemberState::Dead) {
      entry.unresponsiveSince_ = aNow;
    }
  }
}

std::vector<MemberEvent>
MemberTable::TakeEvents(std::size_t aMaxEvents)
{
  std::vector<QueuedEvent*> order;
  order.reserve(queue_.size());
  for (auto& [instance, queued] : queue_) {
    order.push_back(&queued);
  }
  std::stable_sort(
    order.begin(), order.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->sent_ < aRight->sent_;
    });
  std::vector<MemberEvent> events;
  for (QueuedEvent* queued : order) {
    if (events.size() == aMaxEvents) {
      break;
    }
    events.push_back(queued->event_);
    ++queued->sent_;
  }
  for (auto it = queue_.begin(); it != queue_.end();) {
    it = it->second.sent_ >= kEventTransmissions ? queue_.erase(it)
                                                 : std::next(it);
  }
  return events;
}

bool
MemberTable::HasNewEvents() const
{
  return std::any_of(queue_.begin(), queue_.end(), [](const auto& aQueued) {
    return aQueued.second.sent_ == 0;
  });
}

std::vector<MemberEvent>
MemberTable::AllEvents() const
{
  std::vector<MemberEvent> events;
  for (const Member& member : list_.members_) {
    events.push_back({ member.identity_, member.state_ });
  }
  return events;
}

MemberEvent
MemberTable::NextRefreshEvent()
{
  auto next = std::find_if(
    list_.members_.begin(), list_.members_.end(), [&](const Member& aMember) {
      return lastRefreshed_ < aMember.identity_.instance_;
    });
  if (next == list_.members_.end()) {
    next = list_.members_.begin();
  }
  lastRefreshed_ = next->identity_.instance_;
  return { next->identity_, next->state_ };
}

std::optional<MemberEvent>
MemberTable::CorrectionFor(const PeerIdentity& aFrom) const
{
  const auto found = entries_.find(aFrom.instance_);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const bool isNewer = aFrom.incarnation_ > entry.identity_.incarnation_;
  const bool isSuspectOrDead =
    entry.state_ == MemberState::Suspect || entry.state_ == MemberState::Dead;
  if (isNewer || !isSuspectOrDead) {
    return std::nullopt;
  }
  return MemberEvent{ entry.identity_, entry.state_ };
}

void
MemberTable::Enqueue(const MemberEvent& aEvent)
{
  queue_[aEvent.identity_.instance_] = QueuedEvent{ aEvent, 0 };
}

// Rebuilds the member list in order of id, so that equal tables have equal
// lists.
void
MemberTable::Rebuild()
{
  list_.self_ = self_.instance_;
  list_.members_.clear();
  for (const auto& [instance, entry] : entries_) {
    list_.members_.push_back({ entry.identity_, entry.state_ });
  }
  const Member self{ self_,
                     isLeaving_ ? MemberState::Leaving : MemberState::Live };
  const auto position = std::find_if(
    list_.members_.begin(), list_.members_.end(), [&](const Member& aMember) {
      return self_.instance_ < aMember.identity_.instance_;
    });
  list_.members_.insert(position, self);
}

} // namespace sycamoreward
