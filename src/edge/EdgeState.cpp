#include "edge/EdgeState.h"

#include "base/DurationUnits.h"
#include "edge/Collectors.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Initial estimate of the read rate, in tokens per millisecond. Observed values
// replace it within seconds.
constexpr double kInitialReadRate = 30;
// Initial estimate of the time of a plain request, in milliseconds.
constexpr double kInitialWorkMs = 40;
// Fraction of an engine's memory that is assumed to cache prompt parts; running
// requests use the rest.
constexpr double kPartsMemoryFraction = 0.75;
// Fraction of the system's retry budget that the instances use. The rest is a
// margin, because windows slide and an instance counts its requests before they
// reach a server.
constexpr double kRetryBudgetFraction = 0.7;

void
UpdatePool(PoolView& aPool, const ServiceSpec& aSpec)
{
  aPool.service_ = aSpec.name_;
  aPool.isEngine_ = aSpec.engine_.has_value();
  aPool.maxConnections_ = aSpec.maxConnections_;
  aPool.memoryTokens_ =
    aSpec.engine_.has_value() ? aSpec.engine_->memoryTokens_ : 0;
  if (aPool.readRate_ <= 0) {
    aPool.readRate_ = kInitialReadRate;
  }
  if (aPool.workMs_ <= 0) {
    aPool.workMs_ = kInitialWorkMs;
  }
}

void
UpdateBudgets(EdgeState& aState)
{
  const double reserve = aState.bounds_.retryReserve_ * kRetryBudgetFraction /
                         double(std::max<std::size_t>(aState.instances_, 1));
  for (auto& [service, budget] : aState.budgets_) {
    budget.fraction_ = aState.bounds_.retryFraction_ * kRetryBudgetFraction;
    budget.reserve_ = reserve;
    budget.available_ = std::min(budget.available_, reserve);
  }
}

// Fraction of the platform's tolerance that requests may use. The rest covers
// usage of other instances that has not been reported yet.
constexpr double kToleranceFraction = 0.55;
// The same when instances receive each other's reports through collectors, with
// a delay of about a second.
constexpr double kCollectedToleranceFraction = 0.2;

double
QuotaTolerance(const SystemBounds& aBounds,
               const WorkspaceSpec& aWorkspace,
               std::size_t aInstances)
{
  const double seconds = Seconds(aBounds.quotaWindow_);
  const double windowQuota =
    aWorkspace.ratePerSecond_ * seconds + aWorkspace.burst_;
  const double part = aInstances > kMaxMeshInstances
                        ? kCollectedToleranceFraction
                        : kToleranceFraction;
  return part * (windowQuota * aBounds.quotaExcess_ + aBounds.quotaSlack_);
}

void
UpdateQuotas(EdgeState& aState, const Deployment& aDeployment)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  for (const WorkspaceSpec& workspace : aDeployment.workspaces_) {
    Quota& quota = aState.quotas_[workspace.id_];
    const double tolerance =
      QuotaTolerance(aState.bounds_, workspace, aState.instances_);
    if (quota.rate_ != workspace.ratePerSecond_ ||
        quota.burst_ != workspace.burst_ || quota.tolerance_ != tolerance) {
      const bool isNew = quota.rate_ == 0;
      SetLimits(
        quota, workspace.ratePerSecond_, workspace.burst_, tolerance, now);
      if (isNew) {
        SetShare(quota, aState.quotaShare_, now);
      }
      // A workspace that is added later is unused everywhere.
      if (isNew && aState.routes_ == nullptr && !aState.areQuotasUnused_) {
        AssumeUsedUp(quota);
      }
    }
  }
}

} // namespace

bool
ApplyDeployment(EdgeState& aState, Deployment aDeployment)
{
  if (aState.routes_ != nullptr &&
      aDeployment.version_ < aState.routes_->Declared().version_) {
    return false;
  }
  for (const ServiceSpec& service : aDeployment.services_) {
    UpdatePool(aState.pools_[service.name_], service);
    if (aState.budgets_.count(service.name_) == 0) {
      RetryBudget budget = MakeRetryBudget(aState.bounds_.retryFraction_);
      // Starts full; UpdateBudgets reduces it to this instance's share.
      budget.available_ = aState.bounds_.retryReserve_;
      aState.budgets_[service.name_] = budget;
    }
  }
  UpdateBudgets(aState);
  UpdateQuotas(aState, aDeployment);
  aState.routes_ = std::make_shared<const RouteTable>(std::move(aDeployment));
  return true;
}

void
ApplyServers(EdgeState& aState,
             const std::map<ServerId, BackendServer>& aServers)
{
  for (auto& [service, pool] : aState.pools_) {
    for (auto entry = pool.servers_.begin(); entry != pool.servers_.end();) {
      const auto listed = aServers.find(entry->first);
      const bool isGone =
        listed == aServers.end() || listed->second.service_ != service ||
        listed->second.incarnation_ != entry->second.server_.incarnation_ ||
        listed->second.address_ != entry->second.server_.address_;
      if (isGone) {
        aState.channels_.Drop(entry->first);
        entry = pool.servers_.erase(entry);
      } else {
        ++entry;
      }
    }
  }
  for (const auto& [id, server] : aServers) {
    PoolView& pool = aState.pools_[server.service_];
    BackendView& view = pool.servers_[id];
    view.server_ = server;
    view.parts_.SetLimit(
      std::uint64_t(double(pool.memoryTokens_) * kPartsMemoryFraction));
  }
  MarkLeaving(aState);
  aState.serversUpdated_ = aState.loop_.GetClock().Now();
}

BackendView*
FindServer(EdgeState& aState,
           const ServiceName& aService,
           const ServerId& aServer,
           Incarnation aStart)
{
  const auto pool = aState.pools_.find(aService);
  if (pool == aState.pools_.end()) {
    return nullptr;
  }
  const auto found = pool->second.servers_.find(aServer);
  const bool isSame = found != pool->second.servers_.end() &&
                      found->second.server_.incarnation_ == aStart;
  return isSame ? &found->second : nullptr;
}

void
SetQuotasUnused(EdgeState& aState)
{
  aState.areQuotasUnused_ = true;
  for (auto& [workspace, quota] : aState.quotas_) {
    AssumeUnused(quota);
  }
}

void
SetInstanceCount(EdgeState& aState, std::size_t aInstances)
{
  if (aState.instances_ != aInstances) {
    aState.instances_ = std::max<std::size_t>(aInstances, 1);
    UpdateBudgets(aState);
    if (aState.routes_ != nullptr) {
      UpdateQuotas(aState, aState.routes_->Declared());
    }
  }
}

} // namespace sycamoreward::edge
