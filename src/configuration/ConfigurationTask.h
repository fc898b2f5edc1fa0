#pragma once

// Keeps the configuration of this instance up to date: from the table if the
// instance is one of the readers of its failure domain, otherwise from peers.

#include "configuration/ConfigState.h"
#include "configuration/ConfigurationSource.h"
#include "configuration/ConfigurationStore.h"
#include "configuration/FeedExchange.h"
#include "configuration/InForce.h"
#include "membership/MembershipTask.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// Returns whether this instance is one of the first two members of its failure
// domain in the ranking for aDuty. These two read on behalf of the failure
// domain.
bool
IsReaderOf(const MemberList& aMembers,
           const std::string& aDuty,
           const FailureDomainId& aDomain);

// Replies of the seed peers to a starting instance.
struct SeedAnswers
{
  unsigned fromOwnDomain_ = 0;
  unsigned fromOtherDomains_ = 0;
  // Seeds that have neither replied nor timed out yet.
  unsigned pending_ = 0;
};

// Returns whether an instance that starts without the table may use the highest
// revision among the replies: every seed has replied or timed out, and there is
// a reply from its own failure domain or two from others.
bool
HasEnoughSeedAnswers(const SeedAnswers& aAnswers);

class ConfigurationTask final : public ConfigurationSource
{
public:
  ConfigurationTask(EventLoop& aLoop,
                    ConfigurationStore& aStore,
                    FeedExchange& aFeeds,
                    MembershipTask& aMembership);
  ~ConfigurationTask() override;
  ConfigurationTask(const ConfigurationTask&) = delete;
  ConfigurationTask& operator=(const ConfigurationTask&) = delete;

  // Starts to read the table and to pull from aSeeds, the instances named in
  // the settings.
  void Start(std::vector<PeerIdentity> aSeeds);

  // Adds entry instances of the platform's list to the seeds while not ready.
  void AddSeeds(const std::vector<PeerIdentity>& aListed);

  // Whether the configuration has been read from the table or from enough
  // peers.
  bool IsReady() const { return isReady_; }

  std::shared_ptr<const Configuration> Current() const override;
  void OnChange(std::function<void()> aObserver) override;

  const ConfigState& State() const { return state_; }

  // Applies a change that this instance has committed.
  void ApplyCommittedChange(const ConfigChange& aChange);

  // Returns the revision in force in each failure domain; see InForceByDomain.
  DomainRevisions InForce() const;

private:
  void Tick();
  void PullFromSeeds();
  void ReadTable();
  void LoadAll();
  void LoadChanges();
  void PullFrom(const PeerIdentity& aPeer);
  bool Apply(const FeedDelta& aDelta);
  std::optional<FeedDelta> DeltaAfter(std::uint64_t aAfter) const;
  InForceReport CollectInForceReport() const;
  void FillBeat(Beat& aBeat);
  void HandleBeat(const PeerIdentity& aFrom, const Beat& aBeat);
  void AnnounceChange();

  EventLoop& loop_;
  ConfigurationStore& store_;
  FeedExchange& feeds_;
  MembershipTask& membership_;
  ConfigState state_;
  bool isReady_ = false;
  bool isReading_ = false;
  bool isPulling_ = false;
  std::vector<PeerIdentity> seeds_;
  SeedAnswers seedAnswers_;
  std::uint64_t ticks_ = 0;
  std::map<InstanceId, PeerReport> peers_;
  // The values last sent, and the number of heartbeats since they changed.
  DomainRevisions sentDirect_;
  DomainRevisions sentRelayed_;
  std::uint64_t beatsSinceChange_ = 0;
  std::vector<std::function<void()>> observers_;
  EventLoop::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
