#include "performance/RoutingSimulation.h"

#include <cmath>

namespace sycamoreward::simulation {

namespace {

constexpr Duration kStepBase = std::chrono::milliseconds(20);
constexpr Duration kStepPerRequest = std::chrono::microseconds(150);
constexpr Duration kPollInterval = std::chrono::seconds(1);
constexpr std::size_t kReportLagPolls = 2;
constexpr double kWarmUpFraction = 0.2;
constexpr double kMaxLongTokens = 15000;
// Half of a class's default deadline.
constexpr Duration kAgedAfter = std::chrono::seconds(60);
constexpr Duration kFirstByteTarget = std::chrono::milliseconds(310);

} // namespace

Simulation::Simulation(const Setting& aSetting)
  : setting_(aSetting)
  , random_(aSetting.seed_)
  , end_(now_ + Duration(std::int64_t(aSetting.seconds_ * 1e6)))
  , engines_(aSetting.servers_)
  , instances_(aSetting.instances_)
{
  policy_.slotsPerServer_ = setting_.slots_;
  for (Instance& instance : instances_) {
    instance.views_.resize(setting_.servers_);
    for (std::size_t at = 0; at < setting_.servers_; ++at) {
      instance.views_[at].server_.id_ = ServerId("s" + std::to_string(at));
      instance.views_[at].lastStart_ = now_;
    }
  }
}

void
Simulation::Add(Duration aDelay, Kind aKind, std::size_t aIndex)
{
  events_.push({ now_ + aDelay, aKind, aIndex });
}

std::vector<double>
Simulation::Run()
{
  Add(Duration(0), Kind::Poll);
  Add(Duration(1), Kind::Short);
  if (setting_.longPerSecond_ > 0) {
    Add(Duration(1), Kind::Long);
  }
  while (events_.top().time_ < end_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    switch (event.kind_) {
      case Kind::Short:
      case Kind::Long:
        Arrive(event.kind_ == Kind::Long);
        break;
      case Kind::Step:
        FinishStep(event.index_);
        break;
      case Kind::Hedge:
        Hedge(jobs_[event.index_]);
        break;
      case Kind::Poll:
        Poll();
        break;
    }
  }
  const MonotonicTime measuredFrom =
    end_ -
    Duration(std::int64_t(setting_.seconds_ * (1 - kWarmUpFraction) * 1e6));
  for (const JobPtr& job : jobs_) {
    if (!job->isLong_ && job->arrival_ >= measuredFrom) {
      const MonotonicTime done = job->tokensLeft_ == 0 ? job->lastToken_ : end_;
      latencies_.push_back(double((done - job->arrival_).count()) / 1000);
    }
  }
  return latencies_;
}

void
Simulation::Arrive(bool aIsLong)
{
  const double rate =
    aIsLong ? setting_.longPerSecond_ : setting_.shortPerSecond_;
  std::exponential_distribution<double> gap(rate);
  Add(Duration(std::int64_t(gap(random_) * 1e6)),
      aIsLong ? Kind::Long : Kind::Short);
  auto job = std::make_shared<Job>();
  job->instance_ = random_() % instances_.size();
  job->isLong_ = aIsLong;
  job->tokensLeft_ = aIsLong ? setting_.longTokens_ : setting_.shortTokens_;
  const unsigned expected = job->tokensLeft_;
  if (aIsLong && setting_.longSpread_ > 0) {
    std::lognormal_distribution<double> length(std::log(double(expected)),
                                               setting_.longSpread_);
    job->tokensLeft_ =
      unsigned(std::clamp(length(random_), 1.0, kMaxLongTokens));
  }
  job->arrival_ = now_;
  jobs_.push_back(job);
  Instance& instance = instances_[job->instance_];
  const std::uint64_t ticket = jobs_.size() - 1;
  if (setting_.policy_ == Policy::Sycamoreward) {
    QueueItem item;
    item.ticket_ = ticket;
    item.level_ = { aIsLong ? 5U : 0U, aIsLong };
    item.cost_ = expected;
    item.agedAt_ = now_ + kAgedAfter;
    Push(instance.queue_, item);
    Dispatch(instance);
  } else {
    instance.fifo_.push_back(ticket);
    DispatchInOrder(instance);
  }
}

void
Simulation::Dispatch(Instance& aInstance)
{
  DispatchAged(aInstance);
  std::vector<QueueLevel> levels;
  for (const auto& [level, levelQueue] : aInstance.queue_.levels_) {
    levels.push_back(level);
  }
  for (const QueueLevel& level : levels) {
    ChooseServerInput input;
    input.isLong_ = level.isLong_;
    input.instances_ = instances_.size();
    while (const auto server =
             ChooseServer(aInstance.views_, policy_, input, now_, random_)) {
      const auto item =
        PopNext(aInstance.queue_, level, [](const QueueItem&) { return true; });
      if (!item) {
        break;
      }
      Send(aInstance, jobs_[item->ticket_], *server);
      ScheduleHedge(aInstance, item->ticket_);
    }
  }
}

void
Simulation::DispatchAged(Instance& aInstance)
{
  const auto choose = [&](const QueueItem& aItem) {
    ChooseServerInput input;
    input.isLong_ = aItem.level_.isLong_;
    input.instances_ = instances_.size();
    return ChooseServer(aInstance.views_, policy_, input, now_, random_);
  };
  const auto fits = [&](const QueueItem& aItem) {
    return choose(aItem).has_value();
  };
  while (const auto item = PopAged(aInstance.queue_, now_, fits)) {
    Send(aInstance, jobs_[item->ticket_], choose(*item).value());
    ScheduleHedge(aInstance, item->ticket_);
  }
}

void
Simulation::DispatchInOrder(Instance& aInstance)
{
  while (!aInstance.fifo_.empty()) {
    const auto server = ChooseBaseline(aInstance);
    if (!server) {
      return;
    }
    const std::uint64_t ticket = aInstance.fifo_.front();
    aInstance.fifo_.pop_front();
    Send(aInstance, jobs_[ticket], *server);
  }
}

std::optional<std::size_t>
Simulation::ChooseBaseline(Instance& aInstance)
{
  const std::size_t count = aInstance.views_.size();
  std::optional<std::size_t> best;
  double bestLoad = 0;
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t at = (aInstance.next_ + step) % count;
    const ServerView& view = aInstance.views_[at];
    if (view.inFlight_ >= setting_.slots_) {
      continue;
    }
    const double load = setting_.policy_ == Policy::LeastOutstanding
                          ? view.inFlight_
                        : setting_.policy_ == Policy::LeastReported
                          ? view.report_->running_ + view.report_->waiting_
                          : 0;
    if (!best || load < bestLoad) {
      best = at;
      bestLoad = load;
    }
  }
  aInstance.next_ = best ? *best + 1 : aInstance.next_;
  return best;
}

void
Simulation::Send(Instance& aInstance, const JobPtr& aJob, std::size_t aServer)
{
  aJob->sent_ = now_;
  aJob->server_ = aServer;
  aJob->lastToken_ = now_;
  RecordStart(
    aInstance.views_[aServer], Tokens(aJob->tokensLeft_), aJob->isLong_, now_);
  Engine& engine = engines_[aServer];
  // Only Sycamoreward passes priorities, so only then the engine serves short
  // work first.
  if (setting_.policy_ == Policy::Sycamoreward && !aJob->isLong_) {
    engine.waiting_.push_front(aJob);
  } else {
    engine.waiting_.push_back(aJob);
  }
  StartStep(aServer);
}

void
Simulation::ScheduleHedge(Instance& aInstance, std::uint64_t aTicket)
{
  if (jobs_[aTicket]->isLong_) {
    return;
  }
  CountRequest(aInstance.hedges_);
  const auto delay = DecideHedgeDelay(
    aInstance.firstBytes_, kFirstByteTarget, std::chrono::seconds(120));
  if (delay) {
    Add(*delay, Kind::Hedge, aTicket);
  }
}

void
Simulation::Hedge(const JobPtr& aJob)
{
  if (aJob->hasToken_) {
    return;
  }
  Instance& instance = instances_[aJob->instance_];
  ChooseServerInput input;
  input.excluded_ = { instance.views_[aJob->server_].server_.id_ };
  input.mayProbe_ = false;
  const auto server =
    ChooseServer(instance.views_, policy_, input, now_, random_);
  if (!server || !TakeRetry(instance.hedges_)) {
    return;
  }
  auto hedge = std::make_shared<Job>(*aJob);
  hedge->request_ = aJob;
  hedge->other_ = aJob;
  aJob->other_ = hedge;
  Send(instance, hedge, *server);
}

// Records a token of aJob. The attempt that produces the first token wins; the
// other attempt is cancelled.
void
Simulation::RecordToken(const JobPtr& aJob)
{
  Instance& instance = instances_[aJob->instance_];
  RecordTokens(
    instance.views_[aJob->server_], Tokens(1), now_ - aJob->lastToken_, now_);
  aJob->lastToken_ = now_;
  --aJob->tokensLeft_;
  if (!aJob->hasToken_) {
    aJob->hasToken_ = true;
    ObserveFirstByte(instance.firstBytes_, now_ - aJob->sent_);
    if (const JobPtr other = aJob->other_.lock()) {
      other->isCancelled_ = true;
      RecordEnd(instance.views_[other->server_], Tokens(0), false, now_);
    }
  }
  if (aJob->request_ != nullptr) {
    aJob->request_->hasToken_ = true;
    aJob->request_->tokensLeft_ = aJob->tokensLeft_;
    aJob->request_->lastToken_ = now_;
  }
}

bool
Simulation::IsSlow(std::size_t aServer) const
{
  const double left = double((end_ - now_).count()) / 1e6;
  return aServer < setting_.slowServers_ &&
         left < setting_.seconds_ * (1 - kWarmUpFraction);
}

void
Simulation::StartStep(std::size_t aServer)
{
  Engine& engine = engines_[aServer];
  if (engine.isStepping_) {
    return;
  }
  while (!engine.waiting_.empty() && engine.running_.size() < setting_.slots_) {
    if (!engine.waiting_.front()->isCancelled_) {
      engine.running_.push_back(engine.waiting_.front());
    }
    engine.waiting_.pop_front();
  }
  if (engine.running_.empty()) {
    return;
  }
  engine.isStepping_ = true;
  const Duration step =
    kStepBase + kStepPerRequest * std::int64_t(engine.running_.size());
  Add(Duration(std::int64_t(double(step.count()) *
                            (IsSlow(aServer) ? setting_.slowFactor_ : 1))),
      Kind::Step,
      aServer);
}

void
Simulation::FinishStep(std::size_t aServer)
{
  Engine& engine = engines_[aServer];
  engine.isStepping_ = false;
  const auto running = std::move(engine.running_);
  engine.running_.clear();
  std::vector<bool> isFreed(instances_.size());
  for (const JobPtr& job : running) {
    if (job->isCancelled_) {
      continue;
    }
    RecordToken(job);
    ServerView& view = instances_[job->instance_].views_[aServer];
    if (job->tokensLeft_ > 0) {
      engine.running_.push_back(job);
      continue;
    }
    RecordEnd(view, Tokens(0), job->isLong_, now_);
    isFreed[job->instance_] = true;
  }
  for (std::size_t at = 0; at < instances_.size(); ++at) {
    if (isFreed[at]) {
      setting_.policy_ == Policy::Sycamoreward
        ? Dispatch(instances_[at])
        : DispatchInOrder(instances_[at]);
    }
  }
  StartStep(aServer);
}

void
Simulation::Poll()
{
  Add(kPollInterval, Kind::Poll);
  for (std::size_t server = 0; server < engines_.size(); ++server) {
    Engine& engine = engines_[server];
    engine.history_.push_back(
      unsigned(engine.running_.size() + engine.waiting_.size()));
    if (engine.history_.size() > kReportLagPolls + 1) {
      engine.history_.pop_front();
    }
    LoadReport report;
    report.running_ = engine.history_.front();
    report.age_ = kPollInterval * std::int64_t(engine.history_.size() - 1);
    for (Instance& instance : instances_) {
      ApplyReport(instance.views_[server], report, now_);
      DrawBorrowPermission(instance.views_[server], instances_.size(), random_);
    }
  }
  for (Instance& instance : instances_) {
    DetectSlow(instance.views_, policy_.slowFactor_, now_);
    setting_.policy_ == Policy::Sycamoreward ? Dispatch(instance)
                                             : DispatchInOrder(instance);
  }
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[std::min(aValues.size() - 1,
                          std::size_t(aQuantile * double(aValues.size())))];
}

} // namespace sycamoreward::simulation
