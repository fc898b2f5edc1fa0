#pragma once

// Discrete-event simulation of engines, using the decision functions of routing
// and limits on a virtual clock. The engines use continuous batching: each step
// produces one token for each running request, and queued requests are admitted
// by priority.

#include "limits/FairQueue.h"
#include "retries/Hedge.h"
#include "retries/RetryBudget.h"
#include "routing/ChooseServer.h"
#include "routing/DetectSlow.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>

namespace sycamoreward::simulation {

enum class Policy
{
  Sycamoreward,
  // First come, first served, at the server with the fewest requests of this
  // instance.
  LeastOutstanding,
  LeastReported,
  RoundRobin
};

struct Setting
{
  Policy policy_ = Policy::Sycamoreward;
  std::size_t servers_ = 20;
  // Entry instances that share the traffic. Each knows only its own requests
  // and the load reports.
  std::size_t instances_ = 1;
  unsigned slots_ = 16;
  double shortPerSecond_ = 60;
  double longPerSecond_ = 0;
  unsigned shortTokens_ = 20;
  // Median length. With a spread above 0 the lengths are lognormal and not
  // known in advance.
  unsigned longTokens_ = 1500;
  double longSpread_ = 0;
  std::size_t slowServers_ = 0;
  double slowFactor_ = 10;
  double seconds_ = 300;
  std::uint64_t seed_ = 1;
};

struct Job
{
  std::size_t instance_ = 0;
  std::size_t server_ = 0;
  bool isLong_ = false;
  unsigned tokensLeft_ = 0;
  MonotonicTime arrival_{};
  MonotonicTime sent_{};
  MonotonicTime lastToken_{};
  bool hasToken_ = false;
  bool isCancelled_ = false;
  // For a first attempt its hedge, and vice versa.
  std::weak_ptr<Job> other_;
  // For a hedge: the request that it answers.
  std::shared_ptr<Job> request_;
};
using JobPtr = std::shared_ptr<Job>;

class Simulation
{
public:
  explicit Simulation(const Setting& aSetting);

  // Runs the simulation to its end. Returns the latencies in milliseconds of
  // the short requests that arrived after the warm-up. A request that did not
  // complete counts as if it had completed at the end.
  std::vector<double> Run();

private:
  struct Engine
  {
    std::vector<JobPtr> running_;
    std::deque<JobPtr> waiting_;
    bool isStepping_ = false;
    // Request counts at past polls, from which delayed reports are made.
    std::deque<unsigned> history_;
  };
  struct Instance
  {
    std::vector<ServerView> views_;
    FairQueue queue_;
    std::deque<std::uint64_t> fifo_;
    std::size_t next_ = 0;
    FirstByteTimes firstBytes_;
    RetryBudget hedges_ = MakeRetryBudget(0.05);
  };
  enum class Kind
  {
    Short,
    Long,
    Step,
    Poll,
    Hedge
  };
  struct Event
  {
    MonotonicTime time_{};
    Kind kind_ = Kind::Step;
    std::size_t index_ = 0;
    bool operator>(const Event& aOther) const { return time_ > aOther.time_; }
  };

  void Add(Duration aDelay, Kind aKind, std::size_t aIndex = 0);
  void Arrive(bool aIsLong);
  void Dispatch(Instance& aInstance);
  void DispatchAged(Instance& aInstance);
  void DispatchInOrder(Instance& aInstance);
  std::optional<std::size_t> ChooseBaseline(Instance& aInstance);
  void Send(Instance& aInstance, const JobPtr& aJob, std::size_t aServer);
  void ScheduleHedge(Instance& aInstance, std::uint64_t aTicket);
  void Hedge(const JobPtr& aJob);
  void RecordToken(const JobPtr& aJob);
  void StartStep(std::size_t aServer);
  void FinishStep(std::size_t aServer);
  void Poll();
  bool IsSlow(std::size_t aServer) const;

  Setting setting_;
  RoutingPolicy policy_;
  RandomSource random_;
  MonotonicTime now_{ std::chrono::hours(1) };
  MonotonicTime end_{};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Engine> engines_;
  std::vector<Instance> instances_;
  std::vector<JobPtr> jobs_;
  std::vector<double> latencies_;
};

// Returns the given quantile (0 to 1) of the values.
double
Quantile(std::vector<double> aValues, double aQuantile);

} // namespace sycamoreward::simulation
