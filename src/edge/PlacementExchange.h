#pragma once

// Asks placers where to send requests, and places the requests of others when
// this instance is one. Without an answer the instance chooses by itself.

#include "edge/EdgeState.h"
#include "edge/Placement.h"
#include "edge/Placers.h"
#include "peer/PeerNetwork.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamoreward::edge {

// A request that a placer has counted at one of its engines.
struct PlacedWork
{
  InstanceId placer_;
  std::uint64_t work_ = 0;
};

struct PlacerAnswer
{
  Placement placement_;
  PlacedWork work_;
};

class PlacementExchange
{
public:
  PlacementExchange(EdgeState& aState, PeerNetwork& aNetwork);
  ~PlacementExchange();
  PlacementExchange(const PlacementExchange&) = delete;
  PlacementExchange& operator=(const PlacementExchange&) = delete;

  // The instances that place requests, the first to ask first. Empty where each
  // instance places its own.
  void SetPlacers(const std::vector<PeerIdentity>& aPlacers);

  // Asks for a server of aPool. aOnAnswer gets nothing when no placer answers
  // in time or has a server; it may be called at once.
  void RequestPlacement(
    const PoolView& aPool,
    const PlacementQuery& aQuery,
    std::function<void(std::optional<PlacerAnswer>)> aOnAnswer);

  // Tells the placer what became of the work. aAfter is the time since the
  // request was sent; aLoad is what the server said last.
  void ReportEvent(const PlacedWork& aWork,
                   PlacedEvent aEvent,
                   Duration aAfter,
                   const std::optional<ReportedLoad>& aLoad);

private:
  // Work of this or another instance that is counted here.
  struct TrackedRequest
  {
    ServiceName service_;
    ServerId server_;
    Incarnation start_;
    MonotonicTime sent_;
    bool isShort_ = false;
  };

  PlacementReply Place(const PlacementRequest& aRequest);
  void ApplyEvent(const PlacedNews& aNews);
  void HandleReply(
    const InstanceId& aPlacer,
    const PlacementReply& aReply,
    const std::function<void(std::optional<PlacerAnswer>)>& aOnAnswer);
  void UpdateOwnedEngines(const PoolView& aPool);
  void Flush();
  void EvictStaleRequests();

  EdgeState& state_;
  PeerNetwork& network_;
  std::vector<PeerIdentity> placers_;
  std::vector<PlacerState> states_;
  bool isPlacer_ = false;
  // Engines of a service that belong to this instance, and when that was found.
  struct OwnedEngines
  {
    std::set<ServerId> servers_;
    // Of these, those kept for short prompts.
    std::set<ServerId> shortPromptServers_;
    MonotonicTime updated_;
  };
  std::map<ServiceName, OwnedEngines> ownedEngines_;
  std::map<std::uint64_t, TrackedRequest> trackedRequests_;
  // News that wait to be sent, by placer.
  std::map<InstanceId, std::vector<PlacedNews>> pendingEvents_;
  std::uint64_t flushTimer_ = 0;
  std::uint64_t sweepTimer_ = 0;
};

} // namespace sycamoreward::edge
