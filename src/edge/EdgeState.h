#pragma once

// What the requests of one instance share. Used on one event loop.

#include "base/Clock.h"
#include "base/Ids.h"
#include "edge/ChannelPool.h"
#include "edge/DecisionLog.h"
#include "edge/DemandRate.h"
#include "edge/Deployment.h"
#include "edge/EdgeMetrics.h"
#include "edge/PoolView.h"
#include "edge/Quota.h"
#include "edge/UsageCounts.h"
#include "edge/WireCodec.h"
#include "retries/RetryBudget.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace sycamoreward::edge {

class PlacementExchange;

// Bounds that the platform sets for the whole system.
struct SystemBounds
{
  // Extra attempts for each request of a service, over all instances.
  double retryFraction_ = 0.2;
  // Extra attempts beyond that within the platform's window.
  double retryReserve_ = 50;
  // From SIGTERM to SIGKILL.
  Duration grace_ = std::chrono::seconds(8);
  // Time in which one holder of a duty follows another.
  Duration leaseTime_ = std::chrono::seconds(3);
  Duration usageWindow_ = std::chrono::seconds(5);
  // The platform counts quotas in windows of this length and tolerates an
  // excess of a part of the quota and of a fixed amount.
  Duration quotaWindow_ = std::chrono::seconds(8);
  double quotaExcess_ = 0;
  double quotaSlack_ = 0;
  // Longest time for which an answer to an address query is used.
  Duration addressTime_ = std::chrono::seconds(5);
  // A backend server's entry is missing for this long after an outage of the
  // store although the server lives.
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
    , random_(aSeed)
  {
    usage_.window_ = aBounds.usageWindow_;
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
  std::map<ServiceName, RetryBudget> budgets_;
  UsageCounts usage_;
  ChannelPool channels_;
  std::mt19937_64 random_;
  // Entry instances that share what is bounded for the whole system.
  std::size_t instances_ = 1;
  std::size_t running_ = 0;
  // Prompt tokens that engines had to read for requests of this instance.
  std::map<ServiceName, DemandRate> demand_;
  // Requests refused for lack of capacity since the start.
  std::uint64_t refused_ = 0;
  // Middle of the wall clocks of the instances, against this one's.
  Duration wallOffset_{ 0 };
  // Age of the list of backend servers, for the log.
  MonotonicTime serversUpdated_;
  std::uint64_t nextWork_ = 1;

  // Asks whether this instance may take more of a workspace's quota than its
  // part. Unset where each instance hears of all use at once.
  std::function<void(const WorkspaceId& aWorkspace,
                     double aAmount,
                     std::function<void(bool aIsGranted)> aOnAnswer)>
    askForQuota_;
  // Asks placers for the server of a request. Null where each instance places
  // its own.
  PlacementExchange* placementExchange_ = nullptr;
  // Called with the tokens of each prompt that was sent to an engine.
  std::function<void(double aTokens)> onPromptSent_;

  // Wall time as the instances agree on it.
  WallTime AgreedWall() const { return loop_.GetClock().Wall() + wallOffset_; }
  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
};

// Applies a newer deployment. False when it is not newer than the known one.
bool
ApplyDeployment(EdgeState& aState, Deployment aDeployment);

// Replaces the list of backend servers; what is known of those that stay is
// kept.
void
ApplyServers(EdgeState& aState,
             const std::map<ServerId, BackendServer>& aServers);

// The server as it was at the given start; null when it is not listed any more
// or has started again.
BackendView*
FindServer(EdgeState& aState,
           const ServiceName& aService,
           const ServerId& aServer,
           Incarnation aStart);

// Sets the share of this instance in what is bounded for the whole system.
void
SetInstanceCount(EdgeState& aState, std::size_t aInstances);

} // namespace sycamoreward::edge
