#pragma once

// Tells the other entry instances what this one has sent, used and counted,
// and enters what they tell.

#include "base/Clock.h"
#include "edge/AddressAnswer.h"
#include "edge/EdgeState.h"
#include "peer/PeerNetwork.h"

#include <functional>
#include <map>
#include <vector>

namespace sycamoreward::edge {

// What this instance says of itself beside its counters.
struct SelfStatus
{
  bool isReady_ = false;
  bool isLeaving_ = false;
  FencingToken dutyEpoch_;
};

class ReportExchange
{
public:
  ReportExchange(EdgeState& aState,
                 PeerNetwork& aNetwork,
                 const PeerIdentity& aSelf,
                 std::function<SelfStatus()> aStatus);
  ~ReportExchange();
  ReportExchange(const ReportExchange&) = delete;
  ReportExchange& operator=(const ReportExchange&) = delete;

  // The other instances that the store lists.
  void SetMembers(const std::vector<PeerIdentity>& aMembers);

  // All instances, this one included, as callers may use them.
  std::vector<KnownInstance> Instances() const;
  // Instances from which a report came lately, this one included.
  std::size_t LiveCount() const;
  bool IsLive(const InstanceId& aInstance, Incarnation aIncarnation) const;
  // The highest epoch that a live instance other than this one holds.
  FencingToken PeerDutyEpoch() const;
  // Prompt tokens a second that all engines of a service have to read.
  double Demand(const ServiceName& aService) const;
  // Requests that all live instances refused for lack of capacity.
  double Refused() const;
  // Middle of the wall clocks of the live instances, against this one's.
  Duration WallOffset() const;

  void SendNow() { Send(false); }

  // A prompt of aTokens was sent to an engine. Others are told soon, so that
  // they don't choose the same engine for the next one.
  void NoteSent(double aTokens);

private:
  struct Peer
  {
    PeerIdentity identity_;
    InstanceReport report_;
    MonotonicTime heard_;
    Duration wallOffset_{ 0 };
    bool hasReport_ = false;
  };

  void Tick();
  void Send(bool aIsLoadOnly);
  void AddServers(InstanceReport& aReport) const;
  void AddCounts(InstanceReport& aReport) const;
  void Enter(const InstanceReport& aReport);
  void EnterServers(const InstanceReport& aOld, const InstanceReport& aNew);
  void DropSilent();
  bool IsHeard(const Peer& aPeer) const;
  BackendView* FindServer(const ServerId& aServer);

  EdgeState& state_;
  PeerNetwork& network_;
  PeerIdentity self_;
  std::function<SelfStatus()> status_;
  std::map<InstanceId, Peer> peers_;
  std::uint64_t sequence_ = 0;
  std::uint64_t timer_ = 0;
  std::uint64_t soonTimer_ = 0;
};

} // namespace sycamoreward::edge
