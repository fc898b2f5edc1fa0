#pragma once

// Task that gives requests their slots: a queue and the server views of each
// pool, on one event loop.

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
  // The live entry instances, for the choice of subsets. Without it the whole
  // pool is used.
  std::function<std::vector<InstanceId>()> instances_;
};

// The policy for a service, or defaults when there is none.
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

  // Views of a pool's servers, for operators and tests.
  std::vector<ServerView> Views(const PoolName& aPool) const;
  // Servers of the subsets of all pools.
  std::size_t ServerCount() const;
  std::size_t QueueLength(const PoolName& aPool) const;

  // Chooses the servers again; call it when the live instances have changed.
  void RefreshServers();

private:
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
    // Mean time that a request holds a slot, for short and for long work.
    double serviceMicroseconds_[2] = { 0, 0 };
    // Requests of each workspace that run or wait, and its share.
    std::map<WorkspaceId, std::pair<std::size_t, unsigned>> workspaceUsage_;
    bool isDispatchPosted_ = false;
    // Of the policy of the last request.
    double slowFactor_ = 3.0;
    // Entry instances that use the same servers.
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

  ServiceState& StateOf(const std::string& aService,
                        const RoutingPolicy& aPolicy);
  ShedDecision DecideAdmission(const Pool& aPool,
                               const Pending& aPending,
                               const QueueItem& aItem) const;
  void PostDispatch(const PoolName& aPool);
  void Dispatch(const PoolName& aPool);
  void GrantSlot(Pool& aPool, Ticket aTicket, MonotonicTime aNow);
  void RefuseLater(Ticket aTicket,
                   std::function<void(Grant)> aOnGrant,
                   const ShedDecision& aDecision);
  void RefuseWaiting(Pool& aPool,
                     Ticket aTicket,
                     const ShedDecision& aDecision);
  void Tick();
  void RefuseExpired();
  void ShedLowestPriority(Pool& aPool);
  void ReleaseUsage(Pool& aPool, const WorkspaceId& aWorkspace);
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
  // Refusals that have not been delivered yet.
  std::map<Ticket, std::function<void(Grant)>> refused_;
  Ticket nextTicket_ = 1;
  EventLoop::TimerId timer_ = 0;
  // Posted callbacks check this, for they can outlive the scheduler.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  LoadPoller poller_;
};

} // namespace sycamoreward
