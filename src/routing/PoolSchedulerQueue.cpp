// Admission, queue and server views of PoolScheduler.

#include "routing/DetectSlow.h"
#include "routing/PoolScheduler.h"
#include "routing/Subset.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::chrono::milliseconds kTick{ 100 };

// Slots that work of one kind can use, over the servers that accept work.
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
      slots += LongSlots(aPolicy, aInstances);
    } else {
      slots += aPolicy.slotsPerServer_ -
               std::min(aPolicy.slotsPerServer_, view.longInFlight_);
    }
  }
  return slots;
}

// A request that has failed at all servers that accept work may try one of them
// again. With its exclusions it would wait until its deadline.
ChooseQuestion
DropExclusions(ChooseQuestion aQuestion,
               const std::vector<ServerView>& aViews,
               MonotonicTime aNow)
{
  const auto& excluded = aQuestion.excluded_;
  const bool hasOther =
    std::any_of(aViews.begin(), aViews.end(), [&](const ServerView& aView) {
      return IsAccepting(aView, aNow) &&
             std::find(excluded.begin(), excluded.end(), aView.server_.id_) ==
               excluded.end();
    });
  if (!hasOther) {
    aQuestion.excluded_.clear();
  }
  return aQuestion;
}

} // namespace

ShedDecision
PoolScheduler::DecideAdmission(const Pool& aPool,
                               const Pending& aPending,
                               const QueueItem& aItem) const
{
  const MonotonicTime now = Now();
  const bool isLong = aPending.question_.isLong_;
  // Servers that were not heard of yet may be about to accept: wait for them.
  const bool isStarting = std::any_of(
    aPool.views_.begin(), aPool.views_.end(), [](const ServerView& aView) {
      return !aView.report_ && aView.server_.state_ == ServerState::Live;
    });
  ShedQuestion question;
  question.slots_ =
    CountSlots(aPool.views_, aPending.policy_, isLong, aPool.instances_, now);

  question.freeSlots_ = std::size_t(std::count_if(
    aPool.views_.begin(), aPool.views_.end(), [&](const ServerView& aView) {
      return MayGetWork(aView, now) &&
             HasRoom(aView, aPending.policy_, isLong, aPool.instances_);
    }));
  question.ahead_ = CountAhead(aPool.queue_, aItem);
  question.serviceTime_ =
    Duration(std::int64_t(aPool.serviceMicroseconds_[isLong ? 1 : 0]));
  question.deadline_ = TimeLeft(aPending.deadline_, now);
  question.isQueueFull_ = SizeOf(aPool.queue_) >= aPending.policy_.maxQueue_ &&
                          !ChooseVictim(aPool.queue_, aItem);
  if (question.slots_ == 0 && isStarting && !question.isQueueFull_) {
    return {};
  }
  std::size_t total = 0;
  unsigned shares = 0;
  std::size_t own = 0;
  for (const auto& [workspace, use] : aPool.inUse_) {
    total += use.first;
    shares += use.second;
    own += workspace == aItem.workspace_ ? use.first : 0;
  }
  question.isWorkspaceOverShare_ =
    IsOverShare(own, total, aItem.share_, shares);
  return DecideShed(question);
}

void
PoolScheduler::PostPump(const PoolName& aPool)
{
  Pool& pool = pools_[aPool];
  if (pool.isPumpPosted_) {
    return;
  }
  pool.isPumpPosted_ = true;
  loop_.Post([this, aPool, alive = alive_] {
    if (*alive) {
      pools_[aPool].isPumpPosted_ = false;
      Pump(aPool);
    }
  });
}

void
PoolScheduler::Pump(const PoolName& aPool)
{
  Pool& pool = pools_[aPool];
  std::vector<QueueLevel> levels;
  for (const auto& [level, round] : pool.queue_.levels_) {
    levels.push_back(level);
  }
  // One time for the check and the grant: a statement may expire in between.
  MonotonicTime now = Now();
  const auto fits = [&](const QueueItem& aItem) {
    const Pending& pending = pending_.at(aItem.ticket_);
    ChooseQuestion question =
      DropExclusions(pending.question_, pool.views_, now);
    question.mayProbe_ = false;
    return ChooseServer(pool.views_, pending.policy_, question, now, random_)
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
                 DropExclusions(pending.question_, aPool.views_, aNow),
                 aNow,
                 random_);
  ServerView& view = aPool.views_[chosen.value()];
  const bool isLong = pending.question_.isLong_;
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
  ReleaseUse(aPool, found->second.workspace_);
  RefuseLater(aTicket, std::move(found->second.onGrant_), aDecision);
  pending_.erase(found);
}

void
PoolScheduler::Tick()
{
  timer_ = loop_.CallAfter(kTick, [this] { Tick(); });
  DropExpired();
  for (auto& [name, pool] : pools_) {
    DetectSlow(pool.views_, pool.slowFactor_, Now());
    ShedFromLowest(pool);
    if (SizeOf(pool.queue_) != 0) {
      PostPump(name);
    }
  }
}

void
PoolScheduler::DropExpired()
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
PoolScheduler::ShedFromLowest(Pool& aPool)
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
PoolScheduler::ReleaseUse(Pool& aPool, const WorkspaceId& aWorkspace)
{
  const auto use = aPool.inUse_.find(aWorkspace);
  if (use != aPool.inUse_.end() && --use->second.first == 0) {
    aPool.inUse_.erase(use);
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
        // A server that came back may still hold requests of this instance.
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
    PostPump(name);
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
    isNew = isNew || view->accepted_ || !view->saidLeaving_;
    ApplyReport(*view, aLoad.report_, aSent);
    DrawBorrow(*view, pool.instances_, random_);
    if (aLoad.isLeaving_) {
      MarkRefused(*view, true, Now());
    }
    PostPump(name);
  }
  if (aLoad.isLeaving_ && isNew) {
    servers_.ReportLeaving(aServer);
  }
}

} // namespace sycamoreward
