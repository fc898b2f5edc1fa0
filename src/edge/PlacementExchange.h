#pragma once

// Asks placers where to send requests, and places the requests of other
// instances when this instance is a placer. If no placer answers, the instance
// chooses a server itself.

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

// Identifies a request that a placer tracks on one of its engines.
struct PlacedWork
{
  InstanceId placer_;
  std::uint64_t work_ = 0;
};

// A placer's choice of a server and the handle for later events.
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

  // Sets the instances that may act as placers, in order of preference. Empty
  // when each instance places its own requests.
  void SetPlacers(const std::vector<PeerIdentity>& aPlacers);

  // Asks a placer to choose a server of aPool. aOnAnswer gets nullopt when no
  // placer is available, when it does not answer in time or when it has no
  // server. It may be called before this function returns.
  void RequestPlacement(
    const PoolView& aPool,
    const PlacementQuery& aQuery,
    std::function<void(std::optional<PlacerAnswer>)> aOnAnswer);

  // Reports an event of a placed request to its placer. aAfter is the time
  // since the request was sent; aLoad is the load that the server last
  // reported.
  void ReportEvent(const PlacedWork& aWork,
                   PlacementEvent aEvent,
                   Duration aAfter,
                   const std::optional<ReportedLoad>& aLoad);

private:
  // A request of this or another instance that this placer tracks.
  struct TrackedRequest
  {
    ServiceName service_;
    ServerId server_;
    Incarnation start_;
    MonotonicTime sent_;
    bool isShort_ = false;
  };

  // Chooses an engine owned by this placer for a request and tracks the
  // request. The reply names no server if there is none.
  PlacementReply Place(const PlacementRequest& aRequest);
  // Applies a reported event to the tracked request; ignores unknown requests.
  void ApplyEvent(const PlacementUpdate& aNews);
  // Records the load of the placer and passes its choice to aOnAnswer.
  void HandleReply(
    const InstanceId& aPlacer,
    const PlacementReply& aReply,
    const std::function<void(std::optional<PlacerAnswer>)>& aOnAnswer);
  // Returns whether this instance places all requests for the engine. There
  // must be placers.
  bool OwnsEngine(const PoolView& aPool, const ServerId& aServer) const;
  // Recomputes the engines of the pool that this placer owns, at a limited
  // rate.
  void UpdateOwnedEngines(const PoolView& aPool);
  void Flush();
  // Drops tracked requests whose end was never reported.
  void EvictStaleRequests();

  EdgeState& state_;
  PeerNetwork& network_;
  std::vector<PeerIdentity> placers_;
  std::vector<PlacerState> states_;
  bool isPlacer_ = false;
  // Engines of a service that this placer owns, and when the set was computed.
  struct OwnedEngines
  {
    std::set<ServerId> servers_;
    // The subset reserved for short prompts.
    std::set<ServerId> shortPromptServers_;
    MonotonicTime updated_;
  };
  std::map<ServiceName, OwnedEngines> ownedEngines_;
  std::map<std::uint64_t, TrackedRequest> trackedRequests_;
  // Events that wait to be sent, by placer.
  std::map<InstanceId, std::vector<PlacementUpdate>> pendingEvents_;
  std::uint64_t flushTimer_ = 0;
  std::uint64_t sweepTimer_ = 0;
};

} // namespace sycamoreward::edge
