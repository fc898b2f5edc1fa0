// The part of RequestRun that takes quota, chooses a server and applies
// admission control.

#include "base/DurationUnits.h"
#include "edge/Admission.h"
#include "edge/CrashReports.h"
#include "edge/RequestRun.h"
#include "edge/RequestStatus.h"
#include "edge/ServerLimits.h"

namespace sycamoreward::edge {

bool
RequestRun::RefuseIfTooLate()
{
  const bool isTooLate = state_.drainEnd_.has_value() &&
                         exchange_->received_ > state_.drainAcceptUntil_ &&
                         deadline_ > *state_.drainEnd_;
  if (isTooLate) {
    Refuse(kUnavailable, "instance_ends", kStartingRetryAfter);
  }
  return isTooLate;
}

bool
RequestRun::RefuseIfBlocked()
{
  const auto wait = BlockedFor(state_, fingerprints_);
  if (!wait.has_value()) {
    return false;
  }
  LogLine line("request_blocked");
  line.Add("request", request_.id_.Value())
    .Add("fingerprints", ToText(fingerprints_))
    .Add("retryAfterSeconds", Seconds(*wait));
  state_.log_.WriteImportant(line);
  Refuse(kUnavailable, "crashes_servers", *wait);
  return true;
}

void
RequestRun::CheckQuota()
{
  CountRequest(state_.budgets_[service_]);
  if (workspace_ == nullptr) {
    StartPlacement("first");
    return;
  }
  quotaAmount_ = 1;
  if (workspace_->countsTokens_) {
    quotaAmount_ = request_.hasTokens_
                     ? double(request_.promptTokens_ + request_.outputTokens_)
                     : double(workspace_->defaultTokens_);
  }
  Quota& quota = state_.quotas_[workspace_->id_];
  if (quota.rate_ > 0 && quota.share_ <= 0) {
    Refuse(kUnavailable, "instances_unknown", kStartingRetryAfter);
    return;
  }
  switch (TryConsumeQuota(quota, quotaAmount_, state_.loop_.GetClock().Now())) {
    case QuotaResult::Consumed:
      isQuotaTaken_ = true;
      if (HasMuchUnconfirmedUse(quota) && state_.reportSoon_) {
        state_.reportSoon_();
      }
      StartPlacement("first");
      return;
    case QuotaResult::Exhausted:
      RefuseQuota("quota_exceeded");
      return;
    case QuotaResult::LocallyLimited:
      AskForQuota();
      return;
  }
}

void
RequestRun::AskForQuota()
{
  if (!state_.askForQuota_) {
    RefuseQuota("quota_part_exceeded");
    return;
  }
  state_.askForQuota_(workspace_->id_,
                      quotaAmount_,
                      [self = shared_from_this()](bool aIsGranted) {
                        if (self->isEnded_) {
                          return;
                        }
                        if (!aIsGranted) {
                          self->RefuseQuota("quota_part_exceeded");
                          return;
                        }
                        EdgeState& state = self->state_;
                        ConsumeGranted(state.quotas_[self->workspace_->id_],
                                       self->quotaAmount_,
                                       state.loop_.GetClock().Now());
                        self->isQuotaTaken_ = true;
                        self->StartPlacement("first");
                      });
}

void
RequestRun::RefuseQuota(const char* aReason)
{
  const Quota& quota = state_.quotas_[workspace_->id_];
  const Duration wait =
    TimeUntil(quota, quotaAmount_, state_.loop_.GetClock().Now());
  LogLine line("quota_refused");
  line.Add("request", request_.id_.Value())
    .Add("reason", aReason)
    .Add("workspace", workspace_->id_.Value())
    .Add("amount", quotaAmount_)
    .Add("level", quota.level_)
    .Add("share", quota.share_)
    .Add("shareLevel", quota.shareLevel_)
    .Add("localLevel", quota.localLevel_)
    .Add("rate", quota.rate_)
    .Add("burst", quota.burst_)
    .Add("tolerance", quota.tolerance_);
  state_.log_.WriteImportant(line);
  // Random factor from 1 to 2, so that refused callers do not all retry at the
  // same time.
  const double factor = 1 + state_.Draw();
  Refuse(kTooManyRequests,
         aReason,
         Duration(Duration::rep(double(wait.count()) * factor)));
}

void
RequestRun::StartPlacement(const char* aCause)
{
  PoolView& pool = state_.pools_[service_];
  PlacementQuery query;
  query.parts_ = request_.parts_;
  query.promptTokens_ = double(request_.promptTokens_);
  query.objective_ = route_->objective_;
  query.ownDomain_ = state_.domain_;
  query.tried_ = tried_;
  query.instances_ = state_.instances_;
  query.now_ = state_.loop_.GetClock().Now();
  query.draw_ = state_.Draw();
  for (auto& [id, view] : pool.servers_) {
    view.hasIdleChannel_ = state_.channels_.HasIdle(id);
  }
  placedWork_.reset();
  if (state_.placementExchange_ == nullptr) {
    OnPlacerAnswer(aCause, query, std::nullopt);
    return;
  }
  state_.placementExchange_->RequestPlacement(
    pool,
    query,
    [self = shared_from_this(), aCause, query](
      const std::optional<PlacerAnswer>& aAnswer) {
      if (!self->isEnded_) {
        self->OnPlacerAnswer(aCause, query, aAnswer);
      } else if (aAnswer.has_value()) {
        self->state_.placementExchange_->ReportEvent(
          aAnswer->work_, PlacementEvent::NotSent, Duration(0), std::nullopt);
      }
    });
}

void
RequestRun::OnPlacerAnswer(const char* aCause,
                           const PlacementQuery& aQuery,
                           const std::optional<PlacerAnswer>& aAnswer)
{
  PoolView& pool = state_.pools_[service_];
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (aAnswer.has_value()) {
    placedWork_ = aAnswer->work_;
    placement_ = aAnswer->placement_;
    // This instance may have newer information about the server than the
    // placer, or may not have it in its list yet.
    const auto found = pool.servers_.find(placement_.server_);
    const bool isUsable = found != pool.servers_.end() &&
                          !found->second.server_.isDraining_ &&
                          found->second.avoidUntil_ <= now;
    if (isUsable) {
      Admit(aCause);
      return;
    }
    NotifyPlacer(PlacementEvent::NotSent);
  }
  PlacementQuery query = aQuery;
  query.now_ = now;
  placement_ = ChooseServer(pool, query);
  if (placement_.server_.Value().empty()) {
    RefuseWithoutServer(pool);
    return;
  }
  Admit(aCause);
}

void
RequestRun::RefuseWithoutServer(const PoolView& aPool)
{
  const auto wait = LimitedServersWait(aPool, state_.Draw());
  if (!wait.has_value()) {
    Refuse(kUnavailable, "no_server", kStartingRetryAfter);
    return;
  }
  ++state_.refused_;
  Refuse(kUnavailable, "servers_limited", *wait);
}

void
RequestRun::Admit(const char* aCause)
{
  // It may be blocked since it arrived or was last sent.
  if (RefuseIfBlocked()) {
    NotifyPlacer(PlacementEvent::NotSent);
    return;
  }
  const PoolView& pool = state_.pools_[service_];
  const MonotonicTime now = state_.loop_.GetClock().Now();
  AdmissionQuery admission;
  admission.waitMs_ = placement_.waitMs_;
  admission.ownMs_ =
    pool.isEngine_ ? Milliseconds(placement_.readEnd_ - placement_.readStart_)
                   : pool.workMs_;
  admission.elapsed_ = Elapsed();
  admission.remaining_ = Remaining();
  admission.objective_ = route_->objective_;
  admission.draw_ = state_.Draw();
  const AdmissionDecision decision = DecideAdmission(admission);
  if (pool.isEngine_ && attempts_ == 0) {
    AddDemand(state_.demand_[service_], placement_.tokens_, now);
  }
  // A request that a server may already have run is continued while time is
  // left, whatever admission decides.
  if (decision.isAccepted_ || possibleRuns_ > 0) {
    LogLine line("placed");
    line.Add("request", request_.id_.Value())
      .Add("cause", aCause)
      .Add("server", placement_.server_.Value())
      .Add("placer",
           placedWork_.has_value() ? placedWork_->placer_.Value() : "")
      .Add("expectedMs", placement_.waitMs_)
      .Add("tokens", placement_.tokens_)
      .Add("unread", placement_.unread_)
      .Add("running", placement_.running_)
      .Add("failureRate", placement_.failureRate_)
      .Add("listAgeMs", Milliseconds(now - state_.serversUpdated_))
      .Add("deployment", routes_->Declared().version_.Value());
    state_.log_.Write(line);
    SendAttempt(aCause);
    return;
  }
  NotifyPlacer(PlacementEvent::NotSent);
  ++state_.refused_;
  Refuse(kUnavailable, decision.reason_, decision.retryAfter_);
}

void
RequestRun::NotifyPlacer(PlacementEvent aEvent)
{
  if (!placedWork_.has_value()) {
    return;
  }
  const BackendView* view = FindAttemptServer();
  const Duration after = state_.loop_.GetClock().Now() - sent_;
  state_.placementExchange_->ReportEvent(
    *placedWork_, aEvent, after, view == nullptr ? std::nullopt : view->load_);
  if (aEvent != PlacementEvent::FirstEvent) {
    placedWork_.reset();
  }
}

} // namespace sycamoreward::edge
