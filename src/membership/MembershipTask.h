#pragma once

// Exchanges heartbeats between entry instances: joins the other members,
// detects failed members and disseminates membership events.

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
  // Registers a handler for Beat with aNetwork. aSelf is the identity that
  // aNetwork sends in Hello.
  MembershipTask(EventLoop& aLoop,
                 PeerNetwork& aNetwork,
                 const PeerIdentity& aSelf);
  ~MembershipTask() override;
  MembershipTask(const MembershipTask&) = delete;
  MembershipTask& operator=(const MembershipTask&) = delete;

  const MemberList& Members() const override;
  void OnChange(std::function<void()> aObserver) override;

  const PeerIdentity& Self() const;

  // Sets the entry instances from the platform's list, which are contacted to
  // join and to rejoin after a partition. Their incarnation may be 0.
  void SetSeeds(std::vector<PeerIdentity> aSeeds);

  // Calls aCallback when this instance has raised its incarnation, so that the
  // owner can set it on the network.
  void OnNewIncarnation(std::function<void(Incarnation)> aCallback);

  // Adds data of another component to heartbeats: aFill writes it to each
  // outgoing heartbeat, and aOnBeat reads it from each received one. May be
  // called by several components.
  using FillBeat = std::function<void(Beat&)>;
  using ReadBeat = std::function<void(const PeerIdentity&, const Beat&)>;
  void AddBeatExtension(FillBeat aFill, ReadBeat aOnBeat);

  // Sends a heartbeat to each neighbour as soon as possible, at most ten times
  // a second.
  void ScheduleBeats();

  // Notifies the neighbours immediately that this instance is leaving.
  void Leave();

  // Handles OnIdentityMismatch of the network: applies a new incarnation of the
  // expected instance.
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
  // Expires when this task is destroyed, so that network callbacks can detect
  // it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
