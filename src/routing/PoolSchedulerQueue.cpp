// The part of PoolScheduler that handles admission, the queue and server views.

#include "routing/DetectSlow.h"
#include "routing/PoolScheduler.h"
#include "routing/Subset.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::chrono::milliseconds kTick{ 100 };

// Total number of slots available to short or long work on the servers that
// accept work.
std::size_t
CountSlots(const std::vector<ServerView>& aViews,
           const RoutingPolicy& aPolicy,
           bool aIsLong,
           std::size_t aInstances,
           MonotonicTime aNow)
{
  std::size_t slots = 0;
  for (const ServerView& view : aViews) {
    if (!IsAccepting(view, aNow)) {
      continue;
    }
    if (aIsLong) {
      slots += MaxLongSlots(aPolicy, aInstances);
    } else {
      slots += aPolicy.slotsPerServer_ -
               std::min(aPolicy.slotsPerServer_, view.longInFlight_);
    }
  }
  return slots;
}

// Clears the exclusions of a request that has failed at all servers that accept
// work, so that it may retry at one of them. Otherwise it would wait until its
// deadline.
ChooseServerInput
DropExclusions(ChooseServerInput aInput,
               const std::vector<ServerView>& aViews,
               MonotonicTime aNow)
{
  const auto& excluded = aInput.excluded_;
  const bool hasOther =
    std::any_of(aViews.begin(), aViews.end(), [&](const ServerView& aView) {
      return IsAccepting(aView, aNow) &&
             std::find(excluded.begin(), excluded.end(), aView.server_.id_) ==
               excluded.end();
    });
  if (!hasOther) {
    aInput.excluded_.clear();
  }
  return aInput;
}

} // namespace

ShedDecision
PoolScheduler::DecideAdmission(const Pool& aPool,
                               const Pending& aPending,
                               const QueueItem& aItem) const
{
  const MonotonicTime now = Now();
  const bool isLong = aPending.chooseInput_.isLong_;
  // Servers without a first report may accept work soon, so the request waits
  // for them.
  const bool hasUnreportedServer = std::any_of(
    aPool.views_.begin(), aPool.views_.end(), [](const ServerView& aView) {
      return !aView.report_ && aView.server_.state_ == ServerState::Live;
    });
  ShedInput input;
  input.slots_ =
    CountSlots(aPool.views_, aPending.policy_, isLong, aPool.instances_, now);

  input.freeSlots_ = std::size_t(std::count_if(
    aPool.views_.begin(), aPool.views_.end(), [&](const ServerView& aView) {
      return IsEligible(aView, now) &&
             HasFreeSlot(aView, aPending.policy_, isLong, aPool.instances_);
    }));
  input.requestsAhead_ = CountAhead(aPool.queue_, aItem);
  input.serviceTime_ =
    Duration(std::int64_t(aPool.serviceMicroseconds_[isLong ? 1 : 0]));
  input.deadline_ = TimeLeft(aPending.deadline_, now);
  input.isQueueFull_ = SizeOf(aPool.queue_) >= aPending.policy_.maxQueue_ &&
                       !ChooseVictim(aPool.queue_, aItem);
  if (input.slots_ == 0 && hasUnreportedServer && !input.isQueueFull_) {
    return {};
  }
  std::size_t total = 0;
  unsigned shares = 0;
  std::size_t own = 0;
  for (const auto& [workspace, use] : aPool.workspaceUsage_) {
    total += use.first;
    shares += use.second;
    own += workspace == aItem.workspace_ ? use.first : 0;
  }
  input.isWorkspaceOverShare_ = IsOverShare(own, total, aItem.share_, shares);
  return DecideShed(input);
}

void
PoolScheduler::PostDispatch(const PoolName& aPool)
{
  Pool& pool = pools_[aPool];
  if (pool.isDispatchPosted_) {
    return;
  }
  pool.isDispatchPosted_ = true;
  loop_.Post([this, aPool, alive = alive_] {
    if (*alive) {
      pools_[aPool].isDispatchPosted_ = false;
      Dispatch(aPool);
    }
  });
}

void
PoolScheduler::Dispatch(const PoolName& aPool)
{
  Pool& pool = pools_[aPool];
  std::vector<QueueLevel> levels;
  for (const auto& [level, levelQueue] : pool.queue_.levels_) {
    levels.push_back(level);
  }
  // The same time is used for the check and the grant, since an acceptance may
  // expire in between.
  MonotonicTime now = Now();
  const auto fits = [&](const QueueItem& aItem) {
    const Pending& pending = pending_.at(aItem.ticket_);
    ChooseServerInput input =
      DropExclusions(pending.chooseInput_, pool.views_, now);
    input.mayProbe_ = false;
    return ChooseServer(pool.views_, pending.policy_, input, now, random_)
      .has_value();
  };
  while (const auto item = PopAged(pool.queue_, now, fits)) {
    GrantSlot(pool, item->ticket_, now);
    now = Now();
  }
  for (const QueueLevel& level : levels) {
    while (const auto item = PopNext(pool.queue_, level, fits)) {
      GrantSlot(pool, item->ticket_, now);
      now = Now();
    }
  }
}

void
PoolScheduler::GrantSlot(Pool& aPool, Ticket aTicket, MonotonicTime aNow)
{
  const auto found = pending_.find(aTicket);
  Pending pending = std::move(found->second);
  pending_.erase(found);
  const auto chosen =
    ChooseServer(aPool.views_,
                 pending.policy_,
                 DropExclusions(pending.chooseInput_, aPool.views_, aNow),
                 aNow,
                 random_);
  ServerView& view = aPool.views_[chosen.value()];
  const bool isLong = pending.chooseInput_.isLong_;
  RecordStart(view, pending.cost_, isLong, aNow);
  Running running;
  running.pool_ = pending.pool_;
  running.service_ = pending.service_;
  running.server_ = view.server_.id_;
  running.workspace_ = pending.workspace_;
  running.isLong_ = isLong;
  running.cost_ = pending.cost_;
  running.maxTokens_ = pending.maxTokens_;
  running.start_ = Now();
  running_.emplace(aTicket, std::move(running));
  Grant grant;
  grant.server_ = view.server_;
  pending.onGrant_(std::move(grant));
}

void
PoolScheduler::RefuseLater(Ticket aTicket,
                           std::function<void(Grant)> aOnGrant,
                           const ShedDecision& aDecision)
{
  refused_[aTicket] = std::move(aOnGrant);
  loop_.Post([this, aTicket, aDecision, alive = alive_] {
    if (!*alive) {
      return;
    }
    const auto found = refused_.find(aTicket);
    if (found == refused_.end()) {
      return;
    }
    const auto onGrant = std::move(found->second);
    refused_.erase(found);
    onGrant({ std::nullopt, aDecision.refusal_, aDecision.retryAfter_ });
  });
}

void
PoolScheduler::RefuseWaiting(Pool& aPool,
                             Ticket aTicket,
                             const ShedDecision& aDecision)
{
  const auto found = pending_.find(aTicket);
  if (found == pending_.end()) {
    return;
  }
  Remove(aPool.queue_, aTicket);
  ReleaseUsage(aPool, found->second.workspace_);
  RefuseLater(aTicket, std::move(found->second.onGrant_), aDecision);
  pending_.erase(found);
}

void
PoolScheduler::Tick()
{
  timer_ = loop_.CallAfter(kTick, [this] { Tick(); });
  RefuseExpired();
  for (auto& [name, pool] : pools_) {
    DetectSlow(pool.views_, pool.slowFactor_, Now());
    ShedLowestPriority(pool);
    if (SizeOf(pool.queue_) != 0) {
      PostDispatch(name);
    }
  }
}

void
PoolScheduler::RefuseExpired()
{
  std::vector<Ticket> expired;
  for (const auto& [ticket, pending] : pending_) {
    if (TimeLeft(pending.deadline_, Now()) == Duration(0)) {
      expired.push_back(ticket);
    }
  }
  for (const Ticket ticket : expired) {
    Pool& pool = pools_[pending_.at(ticket).pool_];
    RefuseWaiting(
      pool, ticket, { Refusal::Overloaded, std::chrono::seconds(1) });
  }
}

void
PoolScheduler::ShedLowestPriority(Pool& aPool)
{
  while (const auto last = LastItem(aPool.queue_)) {
    const Pending& pending = pending_.at(last->ticket_);
    const bool isLong = last->level_.isLong_;
    const std::size_t slots = CountSlots(
      aPool.views_, pending.policy_, isLong, aPool.instances_, Now());
    const Duration service(
      std::int64_t(aPool.serviceMicroseconds_[isLong ? 1 : 0]));
    const std::size_t waiting = CountAhead(aPool.queue_, *last);
    if (!ShouldShedLast(
          waiting, slots, service, TimeLeft(pending.deadline_, Now()))) {
      return;
    }
    RefuseWaiting(
      aPool, last->ticket_, { Refusal::Overloaded, std::chrono::seconds(1) });
  }
}

void
PoolScheduler::ReleaseUsage(Pool& aPool, const WorkspaceId& aWorkspace)
{
  const auto use = aPool.workspaceUsage_.find(aWorkspace);
  if (use != aPool.workspaceUsage_.end() && --use->second.first == 0) {
    aPool.workspaceUsage_.erase(use);
  }
}

ServerView*
PoolScheduler::FindView(const PoolName& aPool, const ServerId& aServer)
{
  std::vector<ServerView>& views = pools_[aPool].views_;
  const auto found =
    std::find_if(views.begin(), views.end(), [&](const ServerView& aView) {
      return aView.server_.id_ == aServer;
    });
  return found == views.end() ? nullptr : &*found;
}

void
PoolScheduler::RefreshServers()
{
  std::map<PoolName, std::vector<Server>> byPool;
  for (const Server& server : servers_.Servers()) {
    byPool[server.pool_].push_back(server);
  }
  for (auto& [name, pool] : pools_) {
    byPool.try_emplace(name);
  }
  std::vector<Server> polled;
  for (auto& [name, servers] : byPool) {
    std::size_t instances = 1;
    if (options_.instances_) {
      const std::size_t live = options_.instances_().size();
      instances = std::max<std::size_t>(1,
                                        servers.size() > kGroupSize
                                          ? std::min(live, kInstancesPerGroup)
                                          : live);
      servers = ChooseSubset(options_.self_, options_.instances_(), servers);
    }
    std::vector<ServerView> views;
    for (const Server& server : servers) {
      const ServerView* known = FindView(name, server.id_);
      ServerView view;
      if (known != nullptr && known->server_.address_ == server.address_) {
        view = *known;
      } else {
        // A server that was removed and listed again may still run requests of
        // this instance.
        for (const auto& [ticket, running] : running_) {
          if (running.server_ == server.id_) {
            RecordStart(view, running.cost_, running.isLong_, Now());
          }
        }
      }
      view.server_ = server;
      views.push_back(view);
      if (server.state_ == ServerState::Live) {
        polled.push_back(server);
      }
    }
    pools_[name].views_ = std::move(views);
    pools_[name].instances_ = instances;
    PostDispatch(name);
  }
  poller_.SetServers(polled);
}

void
PoolScheduler::OnLoad(const ServerId& aServer,
                      const ParsedLoad& aLoad,
                      MonotonicTime aSent)
{
  bool isNew = false;
  for (auto& [name, pool] : pools_) {
    const auto view = std::find_if(
      pool.views_.begin(), pool.views_.end(), [&](const ServerView& aView) {
        return aView.server_.id_ == aServer;
      });
    if (view == pool.views_.end()) {
      continue;
    }
    isNew = isNew || view->acceptingAsOf_ || !view->leavingAsOf_;
    ApplyReport(*view, aLoad.report_, aSent);
    DrawBorrowPermission(*view, pool.instances_, random_);
    if (aLoad.isLeaving_) {
      RecordRefusal(*view, true, Now());
    }
    PostDispatch(name);
  }
  if (aLoad.isLeaving_ && isNew) {
    servers_.ReportLeaving(aServer);
  }
}

} // namespace sycamoreward
