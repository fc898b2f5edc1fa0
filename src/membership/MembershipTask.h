#pragma once

// Heartbeats between entry instances: joins the other members, finds failed
// ones and passes on what is known.

#include "membership/MemberTable.h"
#include "membership/Membership.h"
#include "membership/Neighbours.h"
#include "peer/PeerNetwork.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <memory>
#include <vector>

namespace sycamoreward {

class MembershipTask final : public Membership
{
public:
  // Registers itself at aNetwork for Beat. aSelf is the identity that aNetwork
  // sends in Hello.
  MembershipTask(EventLoop& aLoop,
                 PeerNetwork& aNetwork,
                 const PeerIdentity& aSelf);
  ~MembershipTask() override;
  MembershipTask(const MembershipTask&) = delete;
  MembershipTask& operator=(const MembershipTask&) = delete;

  const MemberList& Members() const override;
  void OnChange(std::function<void()> aObserver) override;

  const PeerIdentity& Self() const;

  // The other entry instances of the platform's list, through which to join and
  // to find members again after a partition. Their incarnation may be 0.
  void SetSeeds(std::vector<PeerIdentity> aSeeds);

  // Calls aCallback when this instance has raised its incarnation; the owner
  // passes it to the network.
  void OnNewIncarnation(std::function<void(Incarnation)> aCallback);

  // aFill adds what else a heartbeat carries; aOnBeat reads it in those of
  // others. Several owners may add theirs.
  using FillBeat = std::function<void(Beat&)>;
  using ReadBeat = std::function<void(const PeerIdentity&, const Beat&)>;
  void AddBeatExtension(FillBeat aFill, ReadBeat aOnBeat);

  // Sends a heartbeat to each neighbour now, at most ten times a second.
  void ScheduleBeats();

  // Tells the neighbours at once that this instance leaves.
  void Leave();

  // For the network's OnIdentityMismatch: the instance was started again.
  void HandleIdentityMismatch(const PeerIdentity& aExpected,
                              const PeerIdentity& aActual);

  // The current neighbours.
  std::vector<PeerIdentity> Neighbours() const;

private:
  void Tick();
  void SendBeat(const PeerIdentity& aTo, bool aIsRefresh);
  void ContactLostMember();
  void ContactSeeds();
  Beat MakeBeat();
  void ApplyBeat(const PeerIdentity& aFrom, const Beat& aBeat);
  void OnBeat(const PeerIdentity& aFrom,
              const Beat& aBeat,
              const PeerNetwork::Responder& aRespond);
  void StartProbe(const InstanceId& aInstance);
  void OnTableChange(Incarnation aPreviousIncarnation);

  EventLoop& loop_;
  PeerNetwork& network_;
  MemberTable table_;
  NeighbourMonitor monitor_;
  std::vector<PeerIdentity> seeds_;
  std::size_t nextSeed_ = 0;
  std::vector<std::function<void()>> observers_;
  std::vector<std::pair<FillBeat, ReadBeat>> extensions_;
  std::function<void(Incarnation)> onNewIncarnation_;
  MonotonicTime lastTick_;
  MonotonicTime lastRound_;
  bool isRoundScheduled_ = false;
  std::uint64_t ticks_ = 0;
  EventLoop::TimerId timer_ = 0;
  EventLoop::TimerId roundTimer_ = 0;
  // Lets callbacks of the network find out that this task is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
