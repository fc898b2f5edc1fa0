#include "routing/PoolScheduler.h"

namespace sycamoreward {

namespace {

constexpr double kSmoothingFactor = 0.1;

} // namespace

RoutingPolicy
FindPolicy(const Configuration& aConfig, const std::string& aService)
{
  for (const auto& [name, policy] : aConfig.routingPolicies_) {
    if (policy.service_.Value() == aService) {
      return policy;
    }
  }
  return {};
}

PoolScheduler::PoolScheduler(EventLoop& aLoop,
                             HttpClient& aClient,
                             ServerList& aServers,
                             RandomSource& aRandom,
                             PoolSchedulerOptions aOptions)
  : loop_(aLoop)
  , servers_(aServers)
  , random_(aRandom)
  , options_(std::move(aOptions))
  , poller_(aLoop,
            aClient,
            [this](const ServerId& aServer,
                   const ParsedLoad& aLoad,
                   MonotonicTime aSent) { OnLoad(aServer, aLoad, aSent); })
{
  servers_.OnChange([this, alive = alive_] {
    if (*alive) {
      RefreshServers();
    }
  });
  RefreshServers();
  Tick();
}

PoolScheduler::~PoolScheduler()
{
  *alive_ = false;
  loop_.CancelTimer(timer_);
}

Scheduler::Ticket
PoolScheduler::Submit(const std::shared_ptr<const Configuration>& aConfig,
                      const Service& aService,
                      const RequestTraits& aTraits,
                      Duration aDeadline,
                      std::function<void(Grant)> aOnGrant)
{
  const Ticket ticket = nextTicket_++;
  const std::string& name = aService.metadata_.name_;
  Pending pending;
  pending.policy_ = FindPolicy(*aConfig, name);
  ServiceState& state = StateOf(name, pending.policy_);
  state.pool_ = aService.pool_;
  // A request with excluded servers is a retry, not a new request.
  if (aTraits.excluded_.empty()) {
    CountRequest(state.retries_);
    CountRequest(state.hedges_);
  }
  pending.pool_ = aService.pool_;
  pending.service_ = name;
  pending.chooseInput_ = { IsLongWork(aService, aTraits, state.lengths_),
                           aTraits.prefixHashes_,
                           aTraits.excluded_,
                           aService.isRepeatable_,
                           1,
                           aTraits.allowed_ };
  pending.workspace_ = aTraits.workspace_;
  pending.cost_ = EstimateCost(aTraits, state.lengths_);
  pending.maxTokens_ = aTraits.maxTokens_;
  pending.deadline_ = MakeDeadline(Now(), aService.class_.deadline_, aDeadline);
  const auto workspace = aConfig->workspaces_.find(aTraits.workspace_.Value());
  const unsigned share =
    workspace == aConfig->workspaces_.end() ? 1 : workspace->second.share_;
  const QueueItem item{ ticket,
                        aTraits.workspace_,
                        { aService.class_.priority_,
                          pending.chooseInput_.isLong_ },
                        share,
                        pending.cost_.Value(),
                        Now() + TimeLeft(pending.deadline_, Now()) / 2 };
  Pool& pool = pools_[aService.pool_];
  pending.chooseInput_.instances_ = pool.instances_;
  pending.chooseInput_.affinityKey_ =
    AffinityKey(aTraits.prefixHashes_, pool.prefixes_, pool.views_.size());
  CountPrefixes(pool.prefixes_, aTraits.prefixHashes_);
  pool.slowFactor_ = pending.policy_.slowFactor_;
  const ShedDecision decision = DecideAdmission(pool, pending, item);
  if (decision.refusal_ != Refusal::None) {
    RefuseLater(ticket, std::move(aOnGrant), decision);
    return ticket;
  }
  if (SizeOf(pool.queue_) >= pending.policy_.maxQueue_) {
    if (const auto victim = ChooseVictim(pool.queue_, item)) {
      RefuseWaiting(pool,
                    victim->ticket_,
                    { Refusal::Overloaded, std::chrono::seconds(1) });
    }
  }
  pending.onGrant_ = std::move(aOnGrant);
  auto& use = pool.workspaceUsage_[aTraits.workspace_];
  ++use.first;
  use.second = share;
  pending_.emplace(ticket, std::move(pending));
  Push(pool.queue_, item);
  PostDispatch(aService.pool_);
  return ticket;
}

void
PoolScheduler::Cancel(Ticket aTicket)
{
  refused_.erase(aTicket);
  const auto pending = pending_.find(aTicket);
  if (pending == pending_.end()) {
    return;
  }
  Pool& pool = pools_[pending->second.pool_];
  Remove(pool.queue_, aTicket);
  ReleaseUsage(pool, pending->second.workspace_);
  pending_.erase(pending);
}

void
PoolScheduler::FirstByte(Ticket aTicket, Duration aSinceSent)
{
  const auto found = running_.find(aTicket);
  if (found == running_.end()) {
    return;
  }
  Running& running = found->second;
  ObserveFirstByte(services_[running.service_].firstBytes_, aSinceSent);
  if (ServerView* view = FindView(running.pool_, running.server_)) {
    RecordFirstByte(*view, aSinceSent, Now());
  }
}

void
PoolScheduler::TokensArrived(Ticket aTicket, Tokens aCount)
{
  const auto found = running_.find(aTicket);
  if (found == running_.end()) {
    return;
  }
  Running& running = found->second;
  running.produced_ = Tokens(running.produced_.Value() + aCount.Value());
  ServerView* view = FindView(running.pool_, running.server_);
  if (view == nullptr) {
    return;
  }
  const MonotonicTime now = Now();
  // The first tokens arrive with the first byte, so there is no gap to measure.
  if (running.lastTokens_) {
    RecordTokens(*view, aCount, now - *running.lastTokens_, now);
  }
  running.lastTokens_ = now;
  const Tokens cost =
    CorrectEstimate(running.cost_, running.produced_, running.maxTokens_);
  if (cost > running.cost_) {
    view->tokensInFlight_ = Tokens(view->tokensInFlight_.Value() +
                                   cost.Value() - running.cost_.Value());
    running.cost_ = cost;
  }
  if (!running.isLong_ && running.produced_.Value() > kLongWorkTokens) {
    running.isLong_ = true;
    ++view->longInFlight_;
  }
}

void
PoolScheduler::End(Ticket aTicket, AttemptEnd aEnd)
{
  const auto found = running_.find(aTicket);
  if (found == running_.end()) {
    return;
  }
  const Running running = std::move(found->second);
  running_.erase(found);
  Pool& pool = pools_[running.pool_];
  if (ServerView* view = FindView(running.pool_, running.server_)) {
    RecordEnd(*view, running.cost_, running.isLong_, Now());
  }
  if (aEnd == AttemptEnd::Completed) {
    double& mean = pool.serviceMicroseconds_[running.isLong_ ? 1 : 0];
    const double time = double((Now() - running.start_).count());
    mean = mean == 0 ? time : mean + kSmoothingFactor * (time - mean);
    ObserveLength(services_[running.service_].lengths_, running.produced_);
  }
  ReleaseUsage(pool, running.workspace_);
  PostDispatch(running.pool_);
}

void
PoolScheduler::ServerRefused(const ServerId& aServer, bool aIsLeaving)
{
  bool isNew = false;
  for (auto& [name, pool] : pools_) {
    for (ServerView& view : pool.views_) {
      if (view.server_.id_ == aServer) {
        isNew = isNew || view.acceptingAsOf_ || !view.leavingAsOf_;
        RecordRefusal(view, aIsLeaving, Now());
      }
    }
  }
  if (aIsLeaving && isNew) {
    servers_.ReportLeaving(aServer);
  }
}

std::optional<Duration>
PoolScheduler::HedgeDelay(const Service& aService)
{
  const auto state = services_.find(aService.metadata_.name_);
  if (!aService.isRepeatable_ || state == services_.end() ||
      !HasRetry(state->second.hedges_) ||
      pools_[aService.pool_].views_.size() < 2) {
    return std::nullopt;
  }
  return DecideHedgeDelay(state->second.firstBytes_,
                          aService.class_.firstByteTarget_,
                          aService.class_.deadline_);
}

bool
PoolScheduler::TakeHedge(const Service& aService)
{
  const auto state = services_.find(aService.metadata_.name_);
  return state != services_.end() &&
         sycamoreward::TakeRetry(state->second.hedges_);
}

bool
PoolScheduler::TakeRetry(const Service& aService)
{
  const auto state = services_.find(aService.metadata_.name_);
  return state != services_.end() &&
         sycamoreward::TakeRetry(state->second.retries_);
}

std::vector<ServerView>
PoolScheduler::Views(const PoolName& aPool) const
{
  const auto pool = pools_.find(aPool);
  return pool == pools_.end() ? std::vector<ServerView>() : pool->second.views_;
}

std::size_t
PoolScheduler::ServerCount() const
{
  std::size_t count = 0;
  for (const auto& [name, pool] : pools_) {
    count += pool.views_.size();
  }
  return count;
}

std::size_t
PoolScheduler::QueueLength(const PoolName& aPool) const
{
  const auto pool = pools_.find(aPool);
  return pool == pools_.end() ? 0 : SizeOf(pool->second.queue_);
}

PoolScheduler::ServiceState&
PoolScheduler::StateOf(const std::string& aService,
                       const RoutingPolicy& aPolicy)
{
  const auto [state, isNew] = services_.try_emplace(aService);
  if (isNew) {
    state->second.retries_ = MakeRetryBudget(aPolicy.retryBudget_);
    state->second.hedges_ = MakeRetryBudget(aPolicy.hedgeBudget_);
  }
  // Applies policy changes from the next request on.
  state->second.retries_.fraction_ = aPolicy.retryBudget_;
  state->second.hedges_.fraction_ = aPolicy.hedgeBudget_;
  return state->second;
}

} // namespace sycamoreward
