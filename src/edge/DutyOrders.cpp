// The part of DutyTask that orders engines.

#include "base/DurationUnits.h"
#include "edge/DutyTask.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Backoff between calls for an order that the platform does not carry out.
constexpr Duration kMinOrderRetry = std::chrono::seconds(1);
constexpr Duration kMaxOrderRetry = std::chrono::seconds(8);
constexpr Duration kPlanInterval = std::chrono::milliseconds(500);

// Whether engines can be ordered in aDomain. The list may name an engine in a
// domain that the deployment doesn't know, or doesn't know any more.
bool
IsPlanned(const EnginePlanInputs& aInputs, const FailureDomainId& aDomain)
{
  return aInputs.prices_.empty() || aInputs.prices_.count(aDomain) != 0;
}

} // namespace

void
DutyTask::CheckServerList()
{
  std::size_t listed = 0;
  for (const auto& [name, pool] : state_.pools_) {
    listed += pool.servers_.size();
  }
  UpdateListState(listState_, listed, state_.loop_.GetClock().Now());
}

void
DutyTask::CheckOrders()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (state_.routes_ == nullptr || now - lastPlan_ < kPlanInterval) {
    return;
  }
  lastPlan_ = now;
  for (const ServiceSpec& service : state_.routes_->Declared().services_) {
    if (service.scaling_.has_value()) {
      PlanService(service);
    }
  }
}

void
DutyTask::PlanService(const ServiceSpec& aService)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const PoolView& pool = state_.pools_[aService.name_];
  EnginePlan& plan = plans_[aService.name_];
  EnginePlanInputs inputs;
  inputs.now_ = now;
  inputs.min_ = aService.scaling_->min_;
  inputs.max_ = aService.scaling_->max_;
  inputs.reclaimablePrice_ = aService.scaling_->reclaimablePrice_;
  inputs.prices_ = aService.scaling_->prices_;
  inputs.demand_ = reports_->Demand(aService.name_);
  inputs.engineRate_ = pool.readRate_ * 1000;
  const double refused = reports_->Refused();
  inputs.hasRefused_ = refused > refused_;
  refused_ = refused;
  for (const auto& [domain, price] : inputs.prices_) {
    inputs.present_[domain];
  }
  for (const auto& [id, view] : pool.servers_) {
    if (!view.server_.isDraining_ && IsPlanned(inputs, view.server_.domain_)) {
      EngineCounts& counts = inputs.present_[view.server_.domain_];
      (view.server_.isReclaimable_ ? counts.reclaimable_ : counts.reserved_) +=
        1;
      inputs.limited_ += view.limit_.rate_.has_value() ? 1 : 0;
    }
  }
  DetectReclaims(pool, inputs, plan);
  if (!plan.isStarted_ && !listState_.hasSettled_) {
    return;
  }
  UpdatePlan(plan, inputs);
  for (const auto& [domain, present] : inputs.present_) {
    const EngineCounts& ordered = plan.domains_[domain].ordered_;
    SendOrder({ aService.name_, domain, false }, ordered.reserved_);
    SendOrder({ aService.name_, domain, true }, ordered.reclaimable_);
  }
}

void
DutyTask::DetectReclaims(const PoolView& aPool,
                         const EnginePlanInputs& aInputs,
                         EnginePlan& aPlan)
{
  std::map<FailureDomainId, std::uint32_t> leaving;
  for (const auto& [id, view] : aPool.servers_) {
    if (view.server_.isDraining_ && view.server_.isReclaimable_ &&
        leaving_.insert(id).second) {
      ++leaving[view.server_.domain_];
    }
  }
  for (const auto& [domain, count] : leaving) {
    if (!IsPlanned(aInputs, domain)) {
      continue;
    }
    const auto found = aInputs.present_.find(domain);
    const EngineCounts present =
      found == aInputs.present_.end() ? EngineCounts{} : found->second;
    const DomainPlan& ordered = aPlan.domains_[domain];
    if (!IsReclaim(ordered.ordered_, present, count)) {
      continue;
    }
    LogLine line("engines_reclaimed");
    line.Add("service", aPool.service_.Value())
      .Add("domain", domain.Value())
      .Add("leaving", std::uint64_t(count))
      .Add("left", std::uint64_t(present.reclaimable_));
    state_.log_.WriteImportant(line);
    RecordLoss(aPlan, domain, aInputs.now_);
  }
}

void
DutyTask::SendOrder(const OrderKey& aKey, std::uint32_t aCount)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  Order& order = orders_[aKey];
  if (order.isCallPending_ || now < order.nextTry_ ||
      (order.isKnown_ && order.sentCount_ == aCount)) {
    return;
  }
  order.isCallPending_ = true;
  order.isKnown_ = false;
  order.sentCount_ = aCount;
  const auto& [service, domain, isReclaimable] = aKey;
  LogLine line("engines_ordered");
  line.Add("service", service.Value())
    .Add("domain", domain.Value())
    .Add("reclaimable", isReclaimable)
    .Add("count", std::uint64_t(aCount))
    .Add("epoch", lease_.heldEpoch_.Value())
    .Add("demand", plans_[service].demand_)
    .Add("engineRate", plans_[service].engineRate_)
    .Add("needed", plans_[service].needed_)
    .Add("serving", plans_[service].serving_);
  state_.log_.WriteImportant(line);
  cloud_.Send(
    Holder(),
    EngineOrder{ service, domain, isReclaimable, aCount },
    [this, aKey](CloudStatus aStatus) { OnOrderReply(aKey, aStatus); });
}

void
DutyTask::OnOrderReply(const OrderKey& aKey, CloudStatus aStatus)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  Order& order = orders_[aKey];
  const auto& [service, domain, isReclaimable] = aKey;
  order.isCallPending_ = false;
  order.isKnown_ = aStatus == CloudStatus::Ok;
  if (aStatus == CloudStatus::Ok) {
    order.backoff_ = Duration(0);
    return;
  }
  order.backoff_ =
    std::clamp(order.backoff_ * 2, kMinOrderRetry, kMaxOrderRetry);
  order.nextTry_ = now + order.backoff_;
  LogLine line("order_failed");
  line.Add("service", service.Value())
    .Add("domain", domain.Value())
    .Add("reclaimable", isReclaimable)
    .Add("status", int(aStatus))
    .Add("retryMs", Milliseconds(order.backoff_));
  state_.log_.WriteImportant(line);
  if (aStatus == CloudStatus::Superseded) {
    // Either another instance holds the duties now, or there are no engines of
    // this kind. Reading the lease row shows which.
    MarkUnverified(lease_, now);
    if (isReclaimable) {
      RecordLoss(plans_[service], domain, now);
    }
  }
}

} // namespace sycamoreward::edge
