#include "edge/DutyTask.h"

#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward::edge {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
// A tick that is this late, or wall time that has moved on by this much more
// than the steady clock, means that the process stood still.
constexpr Duration kPause = std::chrono::milliseconds(700);
// Reports of the other instances are in by this time after a window's end.
constexpr Duration kUsageDelay = std::chrono::milliseconds(1500);
// The same where instances report to collectors, and the time for which an
// instance holds the duties before it fixes a window: the others have to learn
// of it and report to it.
constexpr Duration kCollectedUsageDelay = std::chrono::milliseconds(4500);
constexpr Duration kHolderKnown = std::chrono::milliseconds(3500);
// Time after a window's end until which its usage is reported.
constexpr Duration kUsageLimit = std::chrono::seconds(25);
constexpr Duration kUsageRetry = std::chrono::milliseconds(600);
// Pauses between calls for an order that the platform does not carry out.
constexpr Duration kMinOrderRetry = std::chrono::seconds(1);
constexpr Duration kMaxOrderRetry = std::chrono::seconds(8);
constexpr Duration kListSettled = std::chrono::milliseconds(1500);
constexpr Duration kPlanInterval = std::chrono::milliseconds(500);
// At the start of the whole system no holder has to be waited for.
constexpr Duration kFirstLeaseDelay = std::chrono::milliseconds(300);

constexpr const char* kDutyTable = "duties";
constexpr const char* kLeaseKey = "holder";
constexpr const char* kUsageTable = "usage";

std::string
ToText(const LeaseRow& aRow)
{
  return nlohmann::json{
    { "instance", aRow.instance_.Value() },
    { "incarnation", aRow.incarnation_.Value() },
    { "epoch", aRow.epoch_.Value() }
  }.dump();
}

// An unreadable row counts as one without a holder.
LeaseRow
ParseLease(const StoreRow& aRow)
{
  LeaseRow lease;
  lease.version_ = aRow.version_;
  const auto json = nlohmann::json::parse(aRow.value_, nullptr, false);
  if (json.is_object()) {
    lease.instance_ = InstanceId(json.value("instance", std::string()));
    lease.incarnation_ =
      Incarnation(json.value("incarnation", std::uint64_t()));
    lease.epoch_ = FencingToken(json.value("epoch", std::uint64_t()));
  }
  return lease;
}

const StoreRow*
FindRow(const std::vector<StoreRow>& aRows, const std::string& aKey)
{
  const auto found =
    std::find_if(aRows.begin(), aRows.end(), [&](const StoreRow& aRow) {
      return aRow.key_ == aKey && !aRow.isDeleted_ && aRow.version_ != 0;
    });
  return found == aRows.end() ? nullptr : &*found;
}

} // namespace

DutyTask::DutyTask(EdgeState& aState,
                   RowStore& aStore,
                   Cloud& aCloud,
                   Incarnation aIncarnation)
  : state_(aState)
  , store_(aStore)
  , cloud_(aCloud)
{
  lease_.self_ = aState.self_;
  lease_.incarnation_ = aIncarnation;
}

DutyTask::~DutyTask()
{
  state_.loop_.CancelTimer(timer_);
}

void
DutyTask::Start(ReportExchange& aReports)
{
  reports_ = &aReports;
  const MonotonicTime now = state_.loop_.GetClock().Now();
  lastTick_ = now;
  lastWall_ = state_.loop_.GetClock().Wall();
  lease_.leaseTime_ = state_.bounds_.leaseTime_;
  lease_.heard_ = now - kFirstLeaseDelay;
  timer_ = state_.loop_.CallAfter(kTick, [this] { Tick(); });
}

bool
DutyTask::Holds() const
{
  return !isStopped_ && MayAct(lease_, state_.loop_.GetClock().Now());
}

void
DutyTask::Stop()
{
  if (lease_.held_.Value() != 0 && !lease_.isAsking_) {
    LeaseRow released;
    released.epoch_ = lease_.held_;
    StoreWrite write;
    write.conditions_.push_back({ kDutyTable, kLeaseKey, lease_.rowVersion_ });
    write.rows_.push_back(
      { kDutyTable, kLeaseKey, ToText(released), 0, false });
    // Without an answer the row runs out.
    store_.Write(write, [](const StoreReply&) {});
  }
  isStopped_ = true;
}

void
DutyTask::Tick()
{
  if (isStopped_) {
    return;
  }
  CheckPause();
  CheckLease();
  if (Holds()) {
    CheckUsage();
    CheckOrders();
  }
  const std::uint64_t oldest =
    WindowOf(state_.usage_, state_.AgreedWall() - 2 * kUsageLimit);
  ForgetBefore(state_.usage_, oldest);
  windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
  timer_ = state_.loop_.CallAfter(kTick, [this] { Tick(); });
}

void
DutyTask::CheckPause()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const WallTime wall = state_.loop_.GetClock().Wall();
  const Duration steady = now - lastTick_;
  const Duration jump = (wall - lastWall_) - steady;
  if (steady > kPause || jump > kPause) {
    LogLine line("pause_noticed");
    line.Add("steadyMs", double(steady.count()) / 1000)
      .Add("jumpMs", double(jump.count()) / 1000);
    state_.log_.WriteImportant(line);
    Doubt(lease_, now);
  }
  lastTick_ = now;
  lastWall_ = wall;
}

void
DutyTask::CheckLease()
{
  const FencingToken before = lease_.held_;
  const LeaseStep step = NextStep(lease_,
                                  reports_->PeerDutyEpoch(),
                                  reports_->DutyRank(),
                                  state_.loop_.GetClock().Now());
  if (before.Value() != 0 && lease_.held_.Value() == 0) {
    LogLine line("duties_lost");
    line.Add("reason", "later_holder").Add("epoch", before.Value());
    state_.log_.WriteImportant(line);
  }
  if (step == LeaseStep::ReadRow) {
    ReadLease();
  } else if (step == LeaseStep::Renew) {
    RenewLease();
  }
}

void
DutyTask::ReadLease()
{
  lease_.isAsking_ = true;
  store_.Read(
    kDutyTable,
    "",
    [this, asked = state_.loop_.GetClock().Now()](const StoreReply& aReply) {
      lease_.isAsking_ = false;
      OnLeaseRow(aReply, asked);
    });
}

void
DutyTask::OnLeaseRow(const StoreReply& aReply, MonotonicTime aAsked)
{
  if (aReply.status_ != StoreStatus::Ok || isStopped_) {
    return;
  }
  const StoreRow* found = FindRow(aReply.rows_, kLeaseKey);
  const LeaseRow row = found == nullptr ? LeaseRow{} : ParseLease(*found);
  if (EnterRow(lease_, row, aAsked, state_.loop_.GetClock().Now())) {
    TakeLease(row);
  }
}

StoreRow
DutyTask::OwnRow(FencingToken aEpoch) const
{
  LeaseRow own;
  own.instance_ = lease_.self_;
  own.incarnation_ = lease_.incarnation_;
  own.epoch_ = aEpoch;
  return { kDutyTable, kLeaseKey, ToText(own), 0, false };
}

void
DutyTask::TakeLease(const LeaseRow& aRow)
{
  const FencingToken epoch(aRow.epoch_.Value() + 1);
  StoreWrite write;
  write.conditions_.push_back({ kDutyTable, kLeaseKey, aRow.version_ });
  write.rows_.push_back(OwnRow(epoch));
  lease_.isAsking_ = true;
  const MonotonicTime asked = state_.loop_.GetClock().Now();
  store_.Write(write, [this, epoch, asked](const StoreReply& aReply) {
    lease_.isAsking_ = false;
    const MonotonicTime now = state_.loop_.GetClock().Now();
    LogLine line("duties_claimed");
    line.Add("epoch", epoch.Value())
      .Add("taken", aReply.status_ == StoreStatus::Ok);
    state_.log_.WriteImportant(line);
    if (aReply.status_ == StoreStatus::Ok) {
      EnterHeld(lease_, epoch, aReply.version_, asked, now);
      heldSince_ = now;
      orders_.clear();

    } else if (aReply.status_ == StoreStatus::Conflict) {
      lease_.heard_ = now;
    }
    // With an unknown outcome the next step reads the row again.
  });
}

void
DutyTask::RenewLease()
{
  StoreWrite write;
  write.conditions_.push_back({ kDutyTable, kLeaseKey, lease_.rowVersion_ });
  write.rows_.push_back(OwnRow(lease_.held_));
  lease_.isAsking_ = true;
  const MonotonicTime asked = state_.loop_.GetClock().Now();
  store_.Write(write, [this, asked](const StoreReply& aReply) {
    lease_.isAsking_ = false;
    const MonotonicTime now = state_.loop_.GetClock().Now();
    if (aReply.status_ == StoreStatus::Ok) {
      EnterHeld(lease_, lease_.held_, aReply.version_, asked, now);
    } else if (aReply.status_ == StoreStatus::Conflict) {
      // An earlier renewal without an answer may have been done.
      Doubt(lease_, now);
    } else {
      constexpr Duration kRenewalRetry = std::chrono::milliseconds(250);
      lease_.nextRenewal_ = now + kRenewalRetry;
    }
  });
}

void
DutyTask::LoseLease(const char* aReason)
{
  LogLine line("duties_lost");
  line.Add("reason", aReason).Add("epoch", lease_.held_.Value());
  state_.log_.WriteImportant(line);
  StepDown(lease_, state_.loop_.GetClock().Now());
}

void
DutyTask::CheckUsage()
{
  const WallTime wall = state_.AgreedWall();
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const bool isCollected = !reports_->IsMesh();
  if (isCollected && now - heldSince_ < kHolderKnown) {
    return;
  }
  const Duration delay = isCollected ? kCollectedUsageDelay : kUsageDelay;
  const std::uint64_t newest = WindowOf(state_.usage_, wall - delay);
  const std::uint64_t oldest = WindowOf(state_.usage_, wall - kUsageLimit);
  for (std::uint64_t window = oldest; window < newest; ++window) {
    const bool isKnown = windows_.count(window) != 0;
    if (lease_.isAsking_) {
      return;
    }
    if (!isKnown && SumWindow(state_.usage_, window).empty()) {
      continue;
    }
    WindowReport& entry = windows_[window];
    if (entry.isSent_ || entry.isAsking_ || now < entry.nextTry_) {
      continue;
    }
    entry.nextTry_ = now + kUsageRetry;
    entry.isAsking_ = true;
    if (entry.isFixed_) {
      SendUsage(window);
    } else {
      FixUsage(window);
    }
  }
}

void
DutyTask::FixUsage(std::uint64_t aWindow)
{
  const std::string key = std::to_string(aWindow);
  WindowReport& entry = windows_[aWindow];
  entry.report_.window_ = aWindow;
  entry.report_.counts_ = SumWindow(state_.usage_, aWindow);
  StoreWrite write;
  write.conditions_.push_back({ kDutyTable, kLeaseKey, lease_.rowVersion_ });
  write.conditions_.push_back({ kUsageTable, key, 0 });
  write.rows_.push_back(OwnRow(lease_.held_));
  write.rows_.push_back({ kUsageTable,
                          key,
                          nlohmann::json(entry.report_.counts_).dump(),
                          0,
                          false });
  // Rows of windows that nobody reports any more.
  constexpr std::uint64_t kKeptWindows = 24;
  write.removed_.push_back(
    { kUsageTable, std::to_string(aWindow - kKeptWindows), "", 0, false });
  lease_.isAsking_ = true;
  const MonotonicTime asked = state_.loop_.GetClock().Now();
  store_.Write(write, [this, aWindow, asked](const StoreReply& aReply) {
    lease_.isAsking_ = false;
    if (aReply.status_ == StoreStatus::Ok) {
      EnterHeld(lease_,
                lease_.held_,
                aReply.version_,
                asked,
                state_.loop_.GetClock().Now());
    }
    OnUsageFixed(aWindow, aReply);
  });
}

void
DutyTask::OnUsageFixed(std::uint64_t aWindow, const StoreReply& aReply)
{
  WindowReport& entry = windows_[aWindow];
  entry.isAsking_ = false;
  if (aReply.status_ == StoreStatus::Ok) {
    entry.isFixed_ = true;
  } else if (aReply.status_ == StoreStatus::Conflict) {
    const StoreRow* lease = FindRow(aReply.rows_, kLeaseKey);
    if (lease == nullptr || lease->version_ != lease_.rowVersion_) {
      Doubt(lease_, state_.loop_.GetClock().Now());
      return;
    }
    const StoreRow* usage = FindRow(aReply.rows_, std::to_string(aWindow));
    if (usage == nullptr) {
      return;
    }
    const auto json = nlohmann::json::parse(usage->value_, nullptr, false);
    if (json.is_object()) {
      entry.report_.counts_ = json.get<WorkspaceCounts>();
    }
    entry.isFixed_ = true;
  }
  if (entry.isFixed_ && Holds()) {
    entry.isAsking_ = true;
    SendUsage(aWindow);
  }
}

void
DutyTask::SendUsage(std::uint64_t aWindow)
{
  cloud_.Send(
    Holder(), windows_[aWindow].report_, [this, aWindow](CloudStatus aStatus) {
      const auto found = windows_.find(aWindow);
      if (found == windows_.end()) {
        return;
      }
      found->second.isAsking_ = false;
      found->second.isSent_ = aStatus == CloudStatus::Ok;
      LogLine line("usage_reported");
      line.Add("window", aWindow)
        .Add("epoch", lease_.held_.Value())
        .Add("accepted", aStatus == CloudStatus::Ok);
      state_.log_.WriteImportant(line);
      if (aStatus == CloudStatus::Superseded && Holds()) {
        LoseLease("superseded");
      }
    });
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
    if (!view.server_.isDraining_) {
      EngineCounts& counts = inputs.present_[view.server_.domain_];
      (view.server_.isReclaimable_ ? counts.reclaimable_ : counts.reserved_) +=
        1;
    }
  }
  for (const auto& [id, view] : pool.servers_) {
    const FailureDomainId& domain = view.server_.domain_;
    // Engines that leave after a lower order leave as many as were ordered.
    const bool isTaken = inputs.present_[domain].reclaimable_ <
                         plan.domains_[domain].ordered_.reclaimable_;
    if (view.server_.isDraining_ && view.server_.isReclaimable_ &&
        leaving_.insert(id).second && isTaken) {
      NoteLost(plan, domain, now);
    }
  }
  if (pool.servers_.size() != listedServers_) {
    listedServers_ = pool.servers_.size();
    listedSince_ = now;
  }
  // Engines register one after the other at the start; a plan from a part of
  // them would send the rest away.
  const bool isSettled =
    listedServers_ > 0 && now - listedSince_ >= kListSettled;
  if (!plan.isStarted_ && !isSettled) {
    return;
  }
  UpdatePlan(plan, inputs);
  for (const auto& [domain, entry] : plan.domains_) {
    SendOrder({ aService.name_, domain, false }, entry.ordered_.reserved_);
    SendOrder({ aService.name_, domain, true }, entry.ordered_.reclaimable_);
  }
}

void
DutyTask::SendOrder(const OrderKey& aKey, std::uint32_t aCount)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  Order& order = orders_[aKey];
  if (order.isAsking_ || now < order.nextTry_ ||
      (order.isKnown_ && order.sent_ == aCount)) {
    return;
  }
  order.isAsking_ = true;
  order.isKnown_ = false;
  order.sent_ = aCount;
  const auto& [service, domain, isReclaimable] = aKey;
  LogLine line("engines_ordered");
  line.Add("service", service.Value())
    .Add("domain", domain.Value())
    .Add("reclaimable", isReclaimable)
    .Add("count", std::uint64_t(aCount))
    .Add("epoch", lease_.held_.Value())
    .Add("demand", reports_->Demand(service));
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
  order.isAsking_ = false;
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
    .Add("retryMs", double(order.backoff_.count()) / 1000);
  state_.log_.WriteImportant(line);
  if (aStatus == CloudStatus::Superseded) {
    // Either another instance holds the duties now, or there are no engines of
    // the kind; the row of the store tells which.
    Doubt(lease_, now);
    if (isReclaimable) {
      NoteLost(plans_[service], domain, now);
    }
  }
}

} // namespace sycamoreward::edge
