#include "configuration/ConfigurationTask.h"

#include "base/Error.h"
#include "configuration/StartSeeds.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <utility>

namespace sycamoreward {

namespace {

constexpr Duration kTickInterval = std::chrono::seconds(1);
constexpr Duration kPullTimeout = std::chrono::seconds(2);
// Ticks between two rounds of pulls from the seeds while not ready.
constexpr std::uint64_t kSeedIntervalTicks = 3;
constexpr unsigned kPageSize = 200;
// Maximum number of changes in one delta; the receiver pulls the rest
// afterwards.
constexpr std::size_t kMaxDeltaItems = 1000;
// The report of a peer expires when its last heartbeat is older than this.
constexpr Duration kMaxReportAge = std::chrono::seconds(8);
// Heartbeats include inForce_ until, counting the current one, this many have
// been sent since it changed, and afterwards once per period, because it is
// larger than the rest of a heartbeat.
constexpr std::uint64_t kInForceBeatsAfterChange = 24;
constexpr std::uint64_t kInForceBeatPeriod = 32;

const char* const kDuty = "config-reader";

} // namespace

bool
IsReaderOf(const MemberList& aMembers,
           const std::string& aDuty,
           const FailureDomainId& aDomain)
{
  MemberList domain;
  std::copy_if(aMembers.members_.begin(),
               aMembers.members_.end(),
               std::back_inserter(domain.members_),
               [&](const Member& aMember) {
                 return aMember.identity_.failureDomain_ == aDomain;
               });
  const auto ranked = RankForDuty(domain, aDuty + "/" + aDomain.Value(), {});
  const auto place = std::find(ranked.begin(), ranked.end(), aMembers.self_);
  return place != ranked.end() && place - ranked.begin() < 2;
}

bool
HasEnoughSeedAnswers(const SeedAnswers& aAnswers)
{
  return aAnswers.pending_ == 0 &&
         (aAnswers.fromOwnDomain_ >= 1 || aAnswers.fromOtherDomains_ >= 2);
}

ConfigurationTask::ConfigurationTask(EventLoop& aLoop,
                                     ConfigurationStore& aStore,
                                     FeedExchange& aFeeds,
                                     MembershipTask& aMembership)
  : loop_(aLoop)
  , store_(aStore)
  , feeds_(aFeeds)
  , membership_(aMembership)
{
  const std::weak_ptr<bool> weak = alive_;
  feeds_.SetSource(FeedName::Configuration, [this, weak](std::uint64_t aAfter) {
    return weak.expired() ? std::nullopt : DeltaAfter(aAfter);
  });
  membership_.AddBeatExtension(
    [this, weak](Beat& aBeat) {
      if (!weak.expired()) {
        FillBeat(aBeat);
      }
    },
    [this, weak](const PeerIdentity& aFrom, const Beat& aBeat) {
      if (!weak.expired()) {
        HandleBeat(aFrom, aBeat);
      }
    });
}

ConfigurationTask::~ConfigurationTask()
{
  loop_.CancelTimer(timer_);
}

void
ConfigurationTask::Start(std::vector<PeerIdentity> aSeeds)
{
  seeds_ = std::move(aSeeds);
  seeds_.erase(std::remove_if(seeds_.begin(),
                              seeds_.end(),
                              [&](const PeerIdentity& aSeed) {
                                return aSeed.instance_ ==
                                       membership_.Self().instance_;
                              }),
               seeds_.end());
  Tick();
}

void
ConfigurationTask::AddSeeds(const std::vector<PeerIdentity>& aListed)
{
  if (!isReady_) {
    MergeSeeds(seeds_, aListed, membership_.Self());
  }
}

std::shared_ptr<const Configuration>
ConfigurationTask::Current() const
{
  return state_.Current();
}

void
ConfigurationTask::OnChange(std::function<void()> aObserver)
{
  observers_.push_back(std::move(aObserver));
}

void
ConfigurationTask::Tick()
{
  timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
  const bool isReader =
    IsReaderOf(membership_.Members(), kDuty, membership_.Self().failureDomain_);
  if (isReader || !isReady_) {
    ReadTable();
  }
  if (!isReady_ && ticks_ % kSeedIntervalTicks == 0 &&
      seedAnswers_.pending_ == 0) {
    PullFromSeeds();
  }
  ++ticks_;
}

void
ConfigurationTask::PullFromSeeds()
{
  seedAnswers_ = {};
  seedAnswers_.pending_ = unsigned(seeds_.size());
  for (const PeerIdentity& seed : seeds_) {
    feeds_.Pull(FeedName::Configuration,
                seed,
                0,
                kPullTimeout,
                [this, seed, weak = std::weak_ptr<bool>(alive_)](
                  const std::optional<FeedDelta>& aDelta) {
                  if (weak.expired()) {
                    return;
                  }
                  --seedAnswers_.pending_;
                  if (aDelta.has_value()) {
                    const bool isOwnDomain =
                      seed.failureDomain_ == membership_.Self().failureDomain_;
                    ++(isOwnDomain ? seedAnswers_.fromOwnDomain_
                                   : seedAnswers_.fromOtherDomains_);
                    if (Apply(*aDelta)) {
                      AnnounceChange();
                    }
                  }
                  if (!isReady_ && HasEnoughSeedAnswers(seedAnswers_)) {
                    isReady_ = true;
                    AnnounceChange();
                  }
                });
  }
}

void
ConfigurationTask::ReadTable()
{
  if (isReading_) {
    return;
  }
  isReading_ = true;
  store_.ReadHead([this, weak = std::weak_ptr<bool>(alive_)](
                    const std::optional<Revision>& aHead) {
    if (weak.expired()) {
      return;
    }
    isReading_ = false;
    if (!aHead.has_value()) {
      return;
    }
    const Revision known = state_.CurrentRevision();
    if (*aHead <= known) {
      if (!isReady_) {
        isReady_ = true;
        AnnounceChange();
      }
    } else if (known.Value() == 0 ||
               aHead->Value() - known.Value() > kPageSize) {
      LoadAll();
    } else {
      LoadChanges();
    }
  });
}

void
ConfigurationTask::LoadAll()
{
  isReading_ = true;
  store_.ReadAll([this, weak = std::weak_ptr<bool>(alive_)](
                   std::optional<Configuration> aConfiguration) {
    if (weak.expired()) {
      return;
    }
    isReading_ = false;
    if (aConfiguration.has_value()) {
      state_.ApplySnapshot(std::move(*aConfiguration));
      isReady_ = true;
      AnnounceChange();
    }
  });
}

void
ConfigurationTask::LoadChanges()
{
  isReading_ = true;
  store_.ReadChanges(
    state_.CurrentRevision(),
    kPageSize,
    [this, weak = std::weak_ptr<bool>(alive_)](
      const std::optional<std::vector<ConfigChange>>& aChanges) {
      if (weak.expired()) {
        return;
      }
      isReading_ = false;
      if (aChanges.has_value()) {
        const bool isChanged = state_.ApplyChanges(*aChanges);
        if (isChanged || !isReady_) {
          isReady_ = true;
          AnnounceChange();
        }
      }
    });
}

void
ConfigurationTask::PullFrom(const PeerIdentity& aPeer)
{
  if (isPulling_) {
    return;
  }
  isPulling_ = true;
  feeds_.Pull(FeedName::Configuration,
              aPeer,
              state_.CurrentRevision().Value(),
              kPullTimeout,
              [this, weak = std::weak_ptr<bool>(alive_)](
                const std::optional<FeedDelta>& aDelta) {
                if (weak.expired()) {
                  return;
                }
                isPulling_ = false;
                if (aDelta.has_value() && Apply(*aDelta)) {
                  AnnounceChange();
                }
              });
}

bool
ConfigurationTask::Apply(const FeedDelta& aDelta)
{
  try {
    std::vector<ConfigChange> changes;
    for (const std::string& item : aDelta.items_) {
      changes.push_back(ParseConfigChange(item));
    }
    return aDelta.isSnapshot_ ? state_.ApplySnapshot(MakeConfiguration(
                                  Revision(aDelta.version_), changes))
                              : state_.ApplyChanges(changes);
  } catch (const UserError& error) {
    LogFor("configuration")->error("{}", error.what());
    return false;
  }
}

std::optional<FeedDelta>
ConfigurationTask::DeltaAfter(std::uint64_t aAfter) const
{
  if (!isReady_) {
    return std::nullopt;
  }
  FeedDelta delta;
  delta.feed_ = FeedName::Configuration;
  delta.version_ = state_.CurrentRevision().Value();
  // A peer that is ahead gets an empty delta.
  delta.after_ = std::min(aAfter, delta.version_);
  auto changes =
    aAfter == 0 ? std::nullopt : state_.ChangesAfter(Revision(aAfter));
  if (!changes.has_value()) {
    delta.isSnapshot_ = true;
    delta.after_ = 0;
    changes = ResourcesOf(*state_.Current());
  } else if (changes->size() > kMaxDeltaItems) {
    changes->resize(kMaxDeltaItems);
    delta.version_ = changes->back().revision_.Value();
  }
  for (const ConfigChange& change : *changes) {
    delta.items_.push_back(FormatConfigChange(change));
  }
  return delta;
}

void
ConfigurationTask::FillBeat(Beat& aBeat)
{
  aBeat.configuration_ = state_.CurrentRevision();
  InForceReport report = CollectInForceReport();
  for (const auto& [domain, revision] : report.direct_) {
    report.relayed_.erase(domain);
  }
  if (report.direct_ != sentDirect_ || report.relayed_ != sentRelayed_) {
    sentDirect_ = report.direct_;
    sentRelayed_ = report.relayed_;
    beatsSinceChange_ = 0;
  }
  if (++beatsSinceChange_ < kInForceBeatsAfterChange ||
      beatsSinceChange_ % kInForceBeatPeriod == 0) {
    aBeat.inForce_ = std::move(report.direct_);
    aBeat.relayedInForce_ = std::move(report.relayed_);
  }
}

void
ConfigurationTask::HandleBeat(const PeerIdentity& aFrom, const Beat& aBeat)
{
  PeerReport& peer = peers_[aFrom.instance_];
  if (!aFrom.failureDomain_.Value().empty()) {
    peer.failureDomain_ = aFrom.failureDomain_;
  }
  peer.revision_ = aBeat.configuration_;
  peer.receivedAt_ = loop_.GetClock().Now();
  if (!aBeat.inForce_.empty()) {
    peer.direct_ = aBeat.inForce_;
    peer.relayed_ = aBeat.relayedInForce_;
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool isExpired =
      peer.receivedAt_ - it->second.receivedAt_ > kMaxReportAge;
    it = isExpired ? peers_.erase(it) : std::next(it);
  }
  if (aBeat.configuration_ > state_.CurrentRevision()) {
    PullFrom(aFrom);
  }
}

DomainRevisions
ConfigurationTask::InForce() const
{
  return InForceByDomain(CollectInForceReport(), membership_.Members());
}

InForceReport
ConfigurationTask::CollectInForceReport() const
{
  return CollectInForce(membership_.Members(),
                        membership_.Neighbours(),
                        state_.CurrentRevision(),
                        peers_);
}

void
ConfigurationTask::ApplyCommittedChange(const ConfigChange& aChange)
{
  if (state_.ApplyChanges({ aChange })) {
    AnnounceChange();
  } else if (aChange.revision_ > state_.CurrentRevision()) {
    // Earlier changes are missing on this instance.
    ReadTable();
  }
}

void
ConfigurationTask::AnnounceChange()
{
  membership_.ScheduleBeats();
  for (const auto& observer : observers_) {
    observer();
  }
}

} // namespace sycamoreward
