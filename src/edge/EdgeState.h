#pragma once

// State shared by all requests of one entry instance. Used on a single event
// loop.

#include "base/Clock.h"
#include "base/Ids.h"
#include "edge/ChannelPool.h"
#include "edge/CrashDetector.h"
#include "edge/DecisionLog.h"
#include "edge/DemandRate.h"
#include "edge/Deployment.h"
#include "edge/EdgeMetrics.h"
#include "edge/LeavingServers.h"
#include "edge/PoolView.h"
#include "edge/Quota.h"
#include "edge/SendBuffers.h"
#include "edge/UsageCounts.h"
#include "edge/WireCodec.h"
#include "retries/RetryBudget.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace sycamoreward::edge {

class PlacementExchange;
class RequestRun;

// Limits that the platform sets for the whole system.
struct SystemBounds
{
  // Permitted extra attempts per request of a service, over all instances.
  double retryFraction_ = 0.2;
  // Permitted extra attempts beyond that fraction within the platform's window.
  double retryReserve_ = 50;
  // From SIGTERM to SIGKILL.
  Duration grace_ = std::chrono::seconds(8);
  // Time within which a new holder takes over a duty.
  Duration leaseTime_ = std::chrono::seconds(3);
  Duration usageWindow_ = std::chrono::seconds(5);
  // The platform counts quotas in windows of this length. It tolerates an
  // excess of the fraction quotaExcess_ of the quota plus the fixed amount
  // quotaSlack_.
  Duration quotaWindow_ = std::chrono::seconds(8);
  double quotaExcess_ = 0;
  double quotaSlack_ = 0;
  // Maximum time for which callers use the answer to an address query.
  Duration addressTime_ = std::chrono::seconds(5);
  // Time after a store outage for which the entry of a running backend server
  // may be missing.
  Duration entryLapseTime_ = std::chrono::milliseconds(2000);
};

struct EdgeState
{
  EdgeState(EventLoop& aLoop,
            const WireCodec& aCodec,
            const SystemBounds& aBounds,
            DecisionLog& aLog,
            EdgeMetrics& aMetrics,
            std::uint64_t aSeed)
    : loop_(aLoop)
    , codec_(aCodec)
    , bounds_(aBounds)
    , log_(aLog)
    , metrics_(aMetrics)
    , channels_(aLoop)
    , crashes_(aLoop, channels_, aLog)
    , random_(aSeed)
  {
    usage_.window_ = aBounds.usageWindow_;
    crashes_.OnNews([this] {
      if (reportCrashes_) {
        reportCrashes_();
      }
    });
  }

  EventLoop& loop_;
  WireCodec codec_;
  SystemBounds bounds_;
  DecisionLog& log_;
  EdgeMetrics& metrics_;
  InstanceId self_;
  FailureDomainId domain_;
  // Null until the first deployment is known.
  std::shared_ptr<const RouteTable> routes_;
  std::map<ServiceName, PoolView> pools_;
  std::map<WorkspaceId, Quota> quotas_;
  // The part of each quota that this instance may consume.
  QuotaShare quotaShare_;
  // Whether no instance has run before this one, so that no quota is used.
  bool areQuotasUnused_ = false;
  std::map<ServiceName, RetryBudget> budgets_;
  UsageCounts usage_;
  ChannelPool channels_;
  CrashDetector crashes_;
  LeavingServers leaving_;
  std::mt19937_64 random_;
  // Number of entry instances that share the system-wide limits.
  std::size_t instances_ = 1;
  // Requests of callers that have not ended.
  std::set<RequestRun*> requests_;
  // Maximum number of bytes of answers that wait for their callers, over all
  // requests.
  std::size_t streamedBytes_ = kDefaultStreamedBytes;
  // When the instance answers the requests that still run and ends; unset
  // unless it drains. Requests that arrive after drainAcceptUntil_ are taken
  // only if their time limit is over by then.
  std::optional<MonotonicTime> drainEnd_;
  MonotonicTime drainAcceptUntil_;
  // Rate of the prompt tokens that engines have to read for requests of this
  // instance.
  std::map<ServiceName, DemandRate> demand_;
  // Requests refused for lack of capacity since the start.
  std::uint64_t refused_ = 0;
  // Offset of the instances' median wall clock from this instance's clock.
  Duration wallOffset_{ 0 };
  // When the list of backend servers was last updated, for the log.
  MonotonicTime serversUpdated_;
  // Latest era of the store that one of its answers named; 0 before.
  StoreEra storeEra_;
  // Next local number for a request sent to a server.
  std::uint64_t nextWork_ = 1;

  // Asks whether this instance may take more of a workspace's quota than its
  // share. May be unset when every instance learns of all usage immediately;
  // requests beyond the share are then refused.
  std::function<void(const WorkspaceId& aWorkspace,
                     double aAmount,
                     std::function<void(bool aIsGranted)> aOnAnswer)>
    askForQuota_;
  // Called when a fingerprint is blocked. May be unset.
  std::function<void(Fingerprint aFingerprint)> onBlocked_;
  // Reports load, use of quotas and limits of servers to the others soon. May
  // be unset.
  std::function<void()> reportSoon_;
  // Reports crashes of servers and what clears requests of them soon. May be
  // unset.
  std::function<void()> reportCrashes_;
  // Instances that share the request rates which servers name: all that run or
  // were running a short time ago, this one included. Empty while they are not
  // known.
  std::vector<InstanceId> limitSharers_;
  // Returns whether this instance alone places the requests for an engine;
  // nullopt when each instance places its own. May be unset.
  std::function<std::optional<bool>(const PoolView& aPool,
                                    const ServerId& aServer)>
    ownsEngine_;
  // Asks placers for the server of a request. Null when each instance places
  // its own requests.
  PlacementExchange* placementExchange_ = nullptr;
  // Called for each prompt sent to an engine that no placer tracks, with the
  // tokens that the engine is expected to read.
  std::function<void(double aTokens)> onPromptSent_;

  // Wall time corrected by wallOffset_, so that instances agree on it.
  WallTime AgreedWall() const { return loop_.GetClock().Wall() + wallOffset_; }
  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
};

// Applies a deployment. Returns false, and changes nothing, when its revision
// is older than the current one. The same revision comes again with other
// content if the store has lost the first one.
bool
ApplyDeployment(EdgeState& aState, Deployment aDeployment);

// Replaces the list of backend servers. The observed state of servers that
// remain listed is kept.
void
ApplyServers(EdgeState& aState,
             const std::map<ServerId, BackendServer>& aServers);

// Finds a server by id and incarnation. Returns null when the server is no
// longer listed or has restarted.
BackendView*
FindServer(EdgeState& aState,
           const ServiceName& aService,
           const ServerId& aServer,
           Incarnation aStart);

// Records that no instance has run before this one.
void
SetQuotasUnused(EdgeState& aState);

// Sets the number of instances that share the system-wide limits, and updates
// this instance's share.
void
SetInstanceCount(EdgeState& aState, std::size_t aInstances);

} // namespace sycamoreward::edge
