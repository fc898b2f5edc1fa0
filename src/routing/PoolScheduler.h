#pragma once

// Scheduler implementation: a request queue and the server views of each pool.
// Runs on one event loop.

#include "configuration/ConfigurationSource.h"
#include "limits/FairQueue.h"
#include "limits/Shed.h"
#include "retries/Deadline.h"
#include "retries/Hedge.h"
#include "retries/RetryBudget.h"
#include "routing/ChooseServer.h"
#include "routing/LengthEstimate.h"
#include "routing/LoadPoller.h"
#include "routing/PrefixAffinity.h"
#include "routing/Scheduler.h"

namespace sycamoreward {

struct PoolSchedulerOptions
{
  InstanceId self_;
  // Returns the live entry instances, from which the server subset is chosen.
  // If unset, all servers of a pool are used.
  std::function<std::vector<InstanceId>()> instances_;
};

// Returns the routing policy of a service, or the defaults if it has none.
RoutingPolicy
FindPolicy(const Configuration& aConfig, const std::string& aService);

class PoolScheduler final : public Scheduler
{
public:
  PoolScheduler(EventLoop& aLoop,
                HttpClient& aClient,
                ServerList& aServers,
                RandomSource& aRandom,
                PoolSchedulerOptions aOptions = {});
  ~PoolScheduler() override;
  PoolScheduler(const PoolScheduler&) = delete;
  PoolScheduler& operator=(const PoolScheduler&) = delete;

  Ticket Submit(const std::shared_ptr<const Configuration>& aConfig,
                const Service& aService,
                const RequestTraits& aTraits,
                Duration aDeadline,
                std::function<void(Grant)> aOnGrant) override;
  void Cancel(Ticket aTicket) override;
  void FirstByte(Ticket aTicket, Duration aSinceSent) override;
  void TokensArrived(Ticket aTicket, Tokens aCount) override;
  void End(Ticket aTicket, AttemptEnd aEnd) override;
  void ServerRefused(const ServerId& aServer, bool aIsLeaving) override;
  std::optional<Duration> HedgeDelay(const Service& aService) override;
  bool TakeHedge(const Service& aService) override;
  bool TakeRetry(const Service& aService) override;

  // Returns the server views of a pool, for diagnostics and tests.
  std::vector<ServerView> Views(const PoolName& aPool) const;
  // Total number of servers that this instance uses, over all pools.
  std::size_t ServerCount() const;
  std::size_t QueueLength(const PoolName& aPool) const;

  // Recomputes the server subsets. Must be called when the live instances
  // change.
  void RefreshServers();

private:
  // A queued request.
  struct Pending
  {
    PoolName pool_;
    std::string service_;
    RoutingPolicy policy_;
    ChooseServerInput chooseInput_;
    WorkspaceId workspace_;
    Tokens cost_;
    Tokens maxTokens_;
    Deadline deadline_;
    std::function<void(Grant)> onGrant_;
  };
  // A request that holds a slot.
  struct Running
  {
    PoolName pool_;
    std::string service_;
    ServerId server_;
    WorkspaceId workspace_;
    bool isLong_ = false;
    Tokens cost_;
    Tokens maxTokens_;
    Tokens produced_;
    MonotonicTime start_{};
    std::optional<MonotonicTime> lastTokens_;
  };
  struct Pool
  {
    std::vector<ServerView> views_;
    FairQueue queue_;
    // Moving average of the time that a request holds a slot, for short [0] and
    // for long work [1].
    double serviceMicroseconds_[2] = { 0, 0 };
    // For each workspace, the number of its running and queued requests, and
    // its share.
    std::map<WorkspaceId, std::pair<std::size_t, unsigned>> workspaceUsage_;
    bool isDispatchPosted_ = false;
    // From the policy of the latest request.
    double slowFactor_ = 3.0;
    // Number of entry instances that use the same servers.
    std::size_t instances_ = 1;
    PrefixCounts prefixes_;
  };
  struct ServiceState
  {
    RetryBudget retries_;
    RetryBudget hedges_;
    FirstByteTimes firstBytes_;
    LengthHistory lengths_;
    PoolName pool_;
  };

  // Returns the state of a service, created on first use, and applies the
  // current policy to it.
  ServiceState& StateOf(const std::string& aService,
                        const RoutingPolicy& aPolicy);
  // Decides whether a new request is queued or refused.
  ShedDecision DecideAdmission(const Pool& aPool,
                               const Pending& aPending,
                               const QueueItem& aItem) const;
  // Schedules one call of Dispatch on the event loop.
  void PostDispatch(const PoolName& aPool);
  // Grants slots to queued requests while there are servers for them: aged
  // requests first, then level by level.
  void Dispatch(const PoolName& aPool);
  // Chooses the server of a queued request and calls its callback with the
  // grant.
  void GrantSlot(Pool& aPool, Ticket aTicket, MonotonicTime aNow);
  // Posts a refusal, since Submit must return before its callback is called.
  void RefuseLater(Ticket aTicket,
                   std::function<void(Grant)> aOnGrant,
                   const ShedDecision& aDecision);
  // Removes a request from the queue and refuses it.
  void RefuseWaiting(Pool& aPool,
                     Ticket aTicket,
                     const ShedDecision& aDecision);
  void Tick();
  // Refuses the queued requests whose deadline has passed.
  void RefuseExpired();
  // Refuses requests from the end of the queue that would start after their
  // deadline.
  void ShedLowestPriority(Pool& aPool);
  // Removes one running or queued request from the usage of its workspace.
  void ReleaseUsage(Pool& aPool, const WorkspaceId& aWorkspace);
  // Returns null if the server is not in the pool.
  ServerView* FindView(const PoolName& aPool, const ServerId& aServer);
  void OnLoad(const ServerId& aServer,
              const ParsedLoad& aLoad,
              MonotonicTime aSent);
  MonotonicTime Now() const { return loop_.GetClock().Now(); }

  EventLoop& loop_;
  ServerList& servers_;
  RandomSource& random_;
  PoolSchedulerOptions options_;
  std::map<PoolName, Pool> pools_;
  std::map<std::string, ServiceState> services_;
  std::map<Ticket, Pending> pending_;
  std::map<Ticket, Running> running_;
  // Callbacks of refusals that have not been delivered yet.
  std::map<Ticket, std::function<void(Grant)>> refused_;
  Ticket nextTicket_ = 1;
  EventLoop::TimerId timer_ = 0;
  // Checked by posted callbacks, which can outlive the scheduler.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  LoadPoller poller_;
};

} // namespace sycamoreward
