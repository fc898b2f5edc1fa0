#pragma once

// Keeps the configuration of this instance up to date: from the table when it
// is one of its failure domain's readers, from peers otherwise.

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

// Whether this instance is one of the first two by rank for aDuty among the
// members of its failure domain.
bool
IsReaderOf(const MemberList& aMembers,
           const std::string& aDuty,
           const FailureDomainId& aDomain);

// What an instance that starts has heard from its seed peers.
struct SeedAnswers
{
  unsigned fromOwnDomain_ = 0;
  unsigned fromOtherDomains_ = 0;
  // Seeds that have neither answered nor timed out yet.
  unsigned pending_ = 0;
};

// Whether an instance that starts without the table may trust the highest
// revision among the answers: each seed has answered or timed out, and there is
// an answer of its own failure domain or two of others.
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

  // Begins to read the table and to ask aSeeds, the instances that the settings
  // name.
  void Start(std::vector<PeerIdentity> aSeeds);

  // Entry instances of the platform's list, to ask too while not ready.
  void AddSeeds(const std::vector<PeerIdentity>& aListed);

  // False until the configuration has been read from the table or from enough
  // peers.
  bool IsReady() const { return isReady_; }

  std::shared_ptr<const Configuration> Current() const override;
  void OnChange(std::function<void()> aObserver) override;

  const ConfigState& State() const { return state_; }

  // A change that this instance has committed.
  void ApplyCommittedChange(const ConfigChange& aChange);

  // See InForceByDomain.
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
  // What was last sent, and beats since its last change.
  DomainRevisions sentDirect_;
  DomainRevisions sentRelayed_;
  std::uint64_t beatsSinceChange_ = 0;
  std::vector<std::function<void()>> observers_;
  EventLoop::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
