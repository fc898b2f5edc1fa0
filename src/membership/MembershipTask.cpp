#include "membership/MembershipTask.h"

#include "telemetry/Log.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr Duration kBeatInterval = std::chrono::seconds(1);
constexpr Duration kBeatTimeout = std::chrono::seconds(1);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
// Minimum time between the additional heartbeats that new events cause.
constexpr Duration kMinRoundInterval = std::chrono::milliseconds(100);
// A longer time between two ticks means that this process was suspended.
constexpr Duration kSuspensionThreshold = std::chrono::seconds(5);
// Number of ticks between two attempts to contact a dead member or an unknown
// seed.
constexpr std::uint64_t kContactInterval = 5;
constexpr std::size_t kMaxEventsPerBeat = 64;
constexpr std::size_t kMaxSeedsPerRound = 6;

} // namespace

MembershipTask::MembershipTask(EventLoop& aLoop,
                               PeerNetwork& aNetwork,
                               const PeerIdentity& aSelf)
  : loop_(aLoop)
  , network_(aNetwork)
  , table_(aSelf)
  , lastTick_(aLoop.GetClock().Now())
  , lastRound_(lastTick_ - kMinRoundInterval)
{
  network_.OnMessage<Beat>([this, weak = std::weak_ptr<bool>(alive_)](
                             const PeerIdentity& aFrom,
                             const Message& aMessage,
                             const PeerNetwork::Responder& aRespond) {
    if (!weak.expired()) {
      OnBeat(aFrom, std::get<Beat>(aMessage), aRespond);
    }
  });
  timer_ = loop_.CallAfter(kBeatInterval, [this] { Tick(); });
}

MembershipTask::~MembershipTask()
{
  loop_.CancelTimer(timer_);
  loop_.CancelTimer(roundTimer_);
}

const MemberList&
MembershipTask::Members() const
{
  return table_.List();
}

void
MembershipTask::OnChange(std::function<void()> aObserver)
{
  observers_.push_back(std::move(aObserver));
}

const PeerIdentity&
MembershipTask::Self() const
{
  return table_.Self();
}

void
MembershipTask::SetSeeds(std::vector<PeerIdentity> aSeeds)
{
  const bool isFirst = seeds_.empty();
  seeds_ = std::move(aSeeds);
  if (isFirst && !seeds_.empty()) {
    // Instances that start together begin with different seeds.
    nextSeed_ =
      std::hash<std::string>()(Self().instance_.Value()) % seeds_.size();
    ContactSeeds();
  }
}

// Each seed that replies sends its complete table. Only a few seeds are
// contacted at a time, so that the cost of a start does not grow with the
// number of instances.
void
MembershipTask::ContactSeeds()
{
  const std::size_t count = std::min(seeds_.size(), kMaxSeedsPerRound);
  for (std::size_t contact = 0; contact < count; ++contact) {
    const PeerIdentity seed = seeds_[nextSeed_++ % seeds_.size()];
    if (seed.instance_ != Self().instance_) {
      SendBeat(seed, false);
    }
  }
}

void
MembershipTask::OnNewIncarnation(std::function<void(Incarnation)> aCallback)
{
  onNewIncarnation_ = std::move(aCallback);
}

void
MembershipTask::AddBeatExtension(FillBeat aFill, ReadBeat aOnBeat)
{
  extensions_.emplace_back(std::move(aFill), std::move(aOnBeat));
}

void
MembershipTask::Tick()
{
  timer_ = loop_.CallAfter(kBeatInterval, [this] { Tick(); });
  const MonotonicTime now = loop_.GetClock().Now();
  if (now - lastTick_ > kSuspensionThreshold) {
    LogFor("membership")
      ->warn(
        "This instance was suspended for {} ms.",
        std::chrono::duration_cast<std::chrono::milliseconds>(now - lastTick_)
          .count());
    monitor_.Restart(now);
    table_.RestartSuspicions(now);
  }
  lastTick_ = now;
  const Incarnation before = Self().incarnation_;
  if (table_.Expire(now)) {
    OnTableChange(before);
  }
  monitor_.SetNeighbours(ChooseNeighbours(table_.List()), now);
  for (const InstanceId& instance : monitor_.DueProbes(now)) {
    StartProbe(instance);
  }
  // One heartbeat of each round also carries a refresh entry of the table.
  bool isRefresh = true;
  for (const PeerIdentity& neighbour : Neighbours()) {
    SendBeat(neighbour, isRefresh);
    isRefresh = false;
  }
  if (Neighbours().empty()) {
    ContactSeeds();
  }
  if (++ticks_ % kContactInterval == 0) {
    ContactLostMember();
  }
}

// Contacts one dead member or unknown seed, in turn. Without this, the two
// sides of a partition would not rejoin after declaring each other dead.
void
MembershipTask::ContactLostMember()
{
  std::vector<PeerIdentity> candidates;
  for (const Member& member : Members().members_) {
    if (member.state_ == MemberState::Dead) {
      candidates.push_back(member.identity_);
    }
  }
  for (const PeerIdentity& seed : seeds_) {
    const auto& members = Members().members_;
    const bool isKnown =
      std::any_of(members.begin(), members.end(), [&](const Member& aMember) {
        return aMember.identity_.instance_ == seed.instance_;
      });
    if (!isKnown) {
      candidates.push_back(seed);
    }
  }
  if (!candidates.empty()) {
    SendBeat(candidates[ticks_ / kContactInterval % candidates.size()], false);
  }
}

Beat
MembershipTask::MakeBeat()
{
  Beat beat;
  beat.incarnation_ = Self().incarnation_;
  beat.members_ = table_.TakeEvents(kMaxEventsPerBeat);
  for (const auto& [fill, read] : extensions_) {
    fill(beat);
  }
  return beat;
}

void
MembershipTask::SendBeat(const PeerIdentity& aTo, bool aIsRefresh)
{
  Beat beat = MakeBeat();
  if (aIsRefresh) {
    beat.members_.push_back(table_.NextRefreshEvent());
  }
  if (const auto correction = table_.CorrectionFor(aTo)) {
    beat.members_.push_back(*correction);
  }
  network_.Call(
    aTo,
    std::move(beat),
    kBeatTimeout,
    [this, aTo, weak = std::weak_ptr<bool>(alive_)](const PeerReply& aReply) {
      if (weak.expired() || !aReply.message_.has_value()) {
        return;
      }
      if (const auto* reply = std::get_if<Beat>(&*aReply.message_)) {
        PeerIdentity from = aTo;
        from.incarnation_ = reply->incarnation_;
        ApplyBeat(from, *reply);
      }
    });
}

void
MembershipTask::OnBeat(const PeerIdentity& aFrom,
                       const Beat& aBeat,
                       const PeerNetwork::Responder& aRespond)
{
  const bool isNew = !table_.Find(aFrom.instance_).has_value();
  const Incarnation before = Self().incarnation_;
  if (isNew &&
      table_.Apply({ aFrom, MemberState::Live }, loop_.GetClock().Now())) {
    OnTableChange(before);
  }
  ApplyBeat(aFrom, aBeat);
  Beat reply = MakeBeat();
  if (isNew) {
    reply.members_ = table_.AllEvents();
  }
  if (const auto correction = table_.CorrectionFor(aFrom)) {
    reply.members_.push_back(*correction);
  }
  aRespond(std::move(reply));
}

void
MembershipTask::ApplyBeat(const PeerIdentity& aFrom, const Beat& aBeat)
{
  const MonotonicTime now = loop_.GetClock().Now();
  monitor_.RecordContact(aFrom.instance_, now);
  table_.RecordContact(aFrom.instance_);
  const Incarnation before = Self().incarnation_;
  bool isChanged = false;
  for (const MemberEvent& event : aBeat.members_) {
    isChanged = table_.Apply(event, now) || isChanged;
  }
  if (isChanged) {
    OnTableChange(before);
  }
  for (const auto& [fill, read] : extensions_) {
    read(aFrom, aBeat);
  }
}

void
MembershipTask::StartProbe(const InstanceId& aInstance)
{
  const auto identity = table_.Find(aInstance);
  if (!identity.has_value()) {
    return;
  }
  network_.ProbeOnNewConnection(
    *identity,
    kProbeTimeout,
    [this, aInstance, weak = std::weak_ptr<bool>(alive_)](bool aIsAlive) {
      if (weak.expired()) {
        return;
      }
      const MonotonicTime now = loop_.GetClock().Now();
      const Incarnation before = Self().incarnation_;
      if (aIsAlive) {
        monitor_.RecordContact(aInstance, now);
        table_.RecordContact(aInstance);
      } else if (now - lastTick_ <= kSuspensionThreshold &&
                 monitor_.ProbeFailed(aInstance, now)) {
        table_.SuspectNeighbour(aInstance, now);
        OnTableChange(before);
      }
    });
}

void
MembershipTask::OnTableChange(Incarnation aPreviousIncarnation)
{
  if (Self().incarnation_ != aPreviousIncarnation && onNewIncarnation_) {
    onNewIncarnation_(Self().incarnation_);
  }
  monitor_.SetNeighbours(ChooseNeighbours(table_.List()),
                         loop_.GetClock().Now());
  if (table_.HasNewEvents()) {
    ScheduleBeats();
  }
  for (const auto& observer : observers_) {
    observer();
  }
}

void
MembershipTask::ScheduleBeats()
{
  if (isRoundScheduled_) {
    return;
  }
  isRoundScheduled_ = true;
  const Duration age = loop_.GetClock().Now() - lastRound_;
  roundTimer_ =
    loop_.CallAfter(std::max(Duration(0), kMinRoundInterval - age), [this] {
      isRoundScheduled_ = false;
      lastRound_ = loop_.GetClock().Now();
      for (const PeerIdentity& neighbour : Neighbours()) {
        SendBeat(neighbour, false);
      }
    });
}

void
MembershipTask::Leave()
{
  table_.Leave();
  OnTableChange(Self().incarnation_);
  for (const PeerIdentity& neighbour : Neighbours()) {
    SendBeat(neighbour, false);
  }
}

void
MembershipTask::HandleIdentityMismatch(const PeerIdentity& aExpected,
                                       const PeerIdentity& aActual)
{
  const Incarnation before = Self().incarnation_;
  // A different instance at this address gives no information about the
  // expected one.
  if (aExpected.instance_ == aActual.instance_ &&
      table_.Apply({ aActual, MemberState::Live }, loop_.GetClock().Now())) {
    OnTableChange(before);
  }
}

std::vector<PeerIdentity>
MembershipTask::Neighbours() const
{
  std::vector<PeerIdentity> identities;
  for (const InstanceId& instance : monitor_.Neighbours()) {
    if (auto identity = table_.Find(instance)) {
      identities.push_back(std::move(*identity));
    }
  }
  return identities;
}

} // namespace sycamoreward
