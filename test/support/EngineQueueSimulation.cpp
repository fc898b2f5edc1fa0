#include "support/EngineQueueSimulation.h"

#include "edge/PoolView.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <set>

namespace sycamoreward {

namespace {

using edge::PoolView;

constexpr Duration kStreamDuration = std::chrono::milliseconds(900);

MonotonicTime
At(Duration aTime)
{
  return MonotonicTime(std::chrono::hours(1) + aTime);
}

struct Running
{
  ServerId engine_;
  std::uint64_t work_ = 0;
  int instance_ = 0;
  MonotonicTime sent_;
  MonotonicTime firstEvent_;
  bool hasFirstEvent_ = false;
};

struct Engine
{
  MonotonicTime freeAt_;
  std::set<std::uint64_t> cachedParts_;
};

struct ClusterState
{
  SimulationOptions options_;
  std::vector<PoolView> views_;
  std::map<ServerId, Engine> engines_;
  std::vector<Running> running_;
  MonotonicTime lastReport_;
  std::uint64_t nextWork_ = 1;
  // The placers, if any, and the engines that each of them owns.
  std::vector<edge::PlacerState> placers_;
  std::vector<std::set<ServerId>> ownedEngines_;
};

// Number of instances that place requests.
int
PlacingInstances(const SimulationOptions& aOptions)
{
  return aOptions.placers_ > 0 ? aOptions.placers_ : aOptions.instances_;
}

ClusterState
MakeCluster(const SimulationOptions& aOptions)
{
  ClusterState cluster;
  cluster.options_ = aOptions;
  PoolView pool;
  pool.isEngine_ = true;
  pool.maxConnections_ = 4000;
  pool.readRate_ = aOptions.assumedReadRate_ > 0 ? aOptions.assumedReadRate_
                                                 : aOptions.readRate_;
  for (int index = 0; index < aOptions.engines_; ++index) {
    edge::BackendView view;
    view.server_.id_ = ServerId("engine-" + std::to_string(index));
    view.server_.domain_ = FailureDomainId("north");
    view.server_.slots_ = 64;
    view.parts_.SetLimit(280000);
    view.hasIdleChannel_ = true;
    pool.servers_[view.server_.id_] = view;
    cluster.engines_[view.server_.id_] = {};
  }
  cluster.views_.assign(std::size_t(PlacingInstances(aOptions)), pool);
  for (int index = 0; index < aOptions.placers_; ++index) {
    cluster.placers_.push_back(
      { InstanceId("placer-" + std::to_string(index)), 0, {}, {} });
  }
  cluster.ownedEngines_.resize(cluster.placers_.size());
  for (const auto& [id, engine] : cluster.engines_) {
    if (!cluster.placers_.empty()) {
      const auto owner =
        edge::OwnerOf(id, cluster.placers_, cluster.placers_.size());
      cluster.ownedEngines_[owner].insert(id);
    }
  }
  return cluster;
}

// Updates each instance's view with the unread tokens and running requests of
// all other instances.
void
ExchangeReports(ClusterState& aCluster, MonotonicTime aNow)
{
  for (std::size_t self = 0; self < aCluster.views_.size(); ++self) {
    for (auto& [id, view] : aCluster.views_[self].servers_) {
      view.peerRunning_ = 0;
      view.peerUnreadTokens_ = 0;
      view.peerAt_ = aNow;
      for (std::size_t peer = 0; peer < aCluster.views_.size(); ++peer) {
        if (peer != self) {
          const auto& other = aCluster.views_[peer].servers_.at(id);
          view.peerRunning_ += other.running_;
          view.peerUnreadTokens_ += edge::OwnUnreadTokens(other, aNow);
        }
      }
    }
  }
  aCluster.lastReport_ = aNow;
}

// Processes all first events and stream ends up to aNow.
void
Advance(ClusterState& aCluster, MonotonicTime aNow)
{
  auto& running = aCluster.running_;
  std::sort(
    running.begin(), running.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.firstEvent_ < aRight.firstEvent_;
    });
  for (Running& run : running) {
    PoolView& pool = aCluster.views_[std::size_t(run.instance_)];
    auto& view = pool.servers_.at(run.engine_);
    if (!run.hasFirstEvent_ && run.firstEvent_ <= aNow) {
      run.hasFirstEvent_ = true;
      edge::RecordFirstEvent(pool, view, run.work_, run.sent_, run.firstEvent_);
    }
    if (run.firstEvent_ + kStreamDuration <= aNow) {
      --view.running_;
    }
  }
  running.erase(std::remove_if(running.begin(),
                               running.end(),
                               [&](const Running& aRun) {
                                 return aRun.firstEvent_ + kStreamDuration <=
                                        aNow;
                               }),
                running.end());
}

// Chooses the instance that places the request. A placer considers only the
// engines that it owns.
int
ChooseInstance(ClusterState& aCluster,
               edge::PlacementQuery& aQuery,
               double aDraw,
               MonotonicTime aNow)
{
  if (aCluster.placers_.empty()) {
    return int(aDraw * aCluster.options_.instances_);
  }
  const auto index =
    edge::ChoosePlacer(
      aCluster.placers_, aCluster.placers_.size(), aQuery.parts_, aNow, aDraw)
      .value_or(0);
  const PoolView& pool = aCluster.views_[index];
  double unread = 0;
  for (const ServerId& id : aCluster.ownedEngines_[index]) {
    unread += edge::OwnUnreadTokens(pool.servers_.at(id), aNow);
  }
  aCluster.placers_[index].loadMs_ =
    unread / double(aCluster.ownedEngines_[index].size()) / pool.readRate_;
  aCluster.placers_[index].loadReceived_ = aNow;
  aQuery.candidates_ = &aCluster.ownedEngines_[index];
  return int(index);
}

// Sends the request to the chosen engine and returns the time of its first
// event.
MonotonicTime
Send(ClusterState& aCluster,
     int aInstance,
     const SimulatedArrival& aArrival,
     const edge::Placement& aPlacement,
     MonotonicTime aNow,
     double& aReadTokens)
{
  Engine& engine = aCluster.engines_.at(aPlacement.server_);
  auto& view =
    aCluster.views_[std::size_t(aInstance)].servers_.at(aPlacement.server_);
  double tokens = aArrival.promptTokens_;
  bool isCached = true;
  for (const edge::PromptPart& part : aArrival.parts_) {
    isCached = isCached && engine.cachedParts_.count(part.id_) != 0;
    tokens -= isCached ? part.tokens_ : 0;
    engine.cachedParts_.insert(part.id_);
    view.parts_.Touch(part);
  }
  aReadTokens += tokens;
  const auto reading =
    Duration(Duration::rep(tokens / aCluster.options_.readRate_ * 1000));
  engine.freeAt_ = std::max(engine.freeAt_, aNow) + reading;
  Running run;
  run.engine_ = aPlacement.server_;
  run.work_ = aCluster.nextWork_++;
  run.instance_ = aInstance;
  run.sent_ = aNow;
  run.firstEvent_ = engine.freeAt_ + std::chrono::milliseconds(10);
  ++view.running_;
  view.unread_[run.work_] = { aPlacement.tokens_,
                              aPlacement.readStart_,
                              aPlacement.readEnd_ };
  aCluster.running_.push_back(run);
  return run.firstEvent_;
}

} // namespace

SimulationResult
Simulate(const std::vector<SimulatedArrival>& aArrivals,
         const SimulationOptions& aOptions,
         const SimulatedPolicy& aPolicy)
{
  ClusterState cluster = MakeCluster(aOptions);
  std::mt19937_64 random(aOptions.seed_);
  std::uniform_real_distribution<double> draw(0, 1);
  SimulationResult result;
  double value = 0;
  double totalValue = 0;
  int onTime = 0;
  int refused = 0;
  double expectedReadMs = 0;
  double actualReadMs = 0;
  std::vector<double> waits;
  for (const SimulatedArrival& arrival : aArrivals) {
    const MonotonicTime now = At(arrival.at_);
    Advance(cluster, now);
    if (now - cluster.lastReport_ >= aOptions.reportInterval_) {
      ExchangeReports(cluster, now);
    }
    edge::PlacementQuery query;
    query.parts_ = arrival.parts_;
    query.promptTokens_ = arrival.promptTokens_;
    query.ownDomain_ = FailureDomainId("north");
    query.instances_ = std::size_t(PlacingInstances(aOptions));
    query.now_ = now;
    const int instance = ChooseInstance(cluster, query, draw(random), now);
    query.draw_ = draw(random);
    const auto& pool = cluster.views_[std::size_t(instance)];
    const edge::Placement placement = aPolicy(pool, query);
    totalValue += arrival.value_;
    edge::AdmissionQuery admission;
    admission.waitMs_ = placement.waitMs_;
    admission.ownMs_ = placement.tokens_ / pool.readRate_;
    admission.remaining_ = std::chrono::seconds(6);
    admission.objective_ = arrival.objective_;
    if (aOptions.usesAdmission_ &&
        !edge::DecideAdmission(admission).isAccepted_) {
      ++refused;
      continue;
    }
    const double readBefore = result.readTokens_;
    const MonotonicTime first =
      Send(cluster, instance, arrival, placement, now, result.readTokens_);
    if (&arrival - aArrivals.data() >= std::ptrdiff_t(aArrivals.size() / 2)) {
      expectedReadMs += placement.tokens_ / pool.readRate_;
      actualReadMs += (result.readTokens_ - readBefore) / aOptions.readRate_;
    }
    const bool isOnTime = first - now <= arrival.objective_;
    onTime += isOnTime ? 1 : 0;
    value += arrival.value_ * (isOnTime ? 1.0 : 0.1);
    waits.push_back(double((first - now).count()) / 1000);
  }
  for (const PoolView& pool : cluster.views_) {
    result.learnedReadRate_ += pool.readRate_ / double(cluster.views_.size());
  }
  std::sort(waits.begin(), waits.end());
  const auto count = double(aArrivals.size());
  result.expectedReadFraction_ = expectedReadMs / std::max(actualReadMs, 1.0);
  result.valueFraction_ = value / totalValue;
  result.onTimeFraction_ = onTime / count;
  result.refusedFraction_ = refused / count;
  result.p95Ms_ =
    waits.empty() ? 0 : waits[std::size_t(double(waits.size()) * 0.95)];
  return result;
}

std::vector<SimulatedArrival>
OfficeArrivals(double aSeconds,
               double aRateFactor,
               double aBurstFactor,
               std::uint64_t aSeed)
{
  // Rates, sizes, objectives and values of the request kinds of the two
  // offices.
  constexpr double kPerSecond = 94;
  constexpr int kGroupSize = 3;
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> draw(0, 1);
  std::lognormal_distribution<double> size(0, 0.9);
  std::vector<SimulatedArrival> arrivals;
  std::uint64_t nextOwn = 1'000'000;
  double at = 0;
  while (at < aSeconds) {
    const bool isBurst = at > aSeconds / 3 && at < aSeconds * 2 / 3;
    const double rate = kPerSecond * aRateFactor * (isBurst ? aBurstFactor : 1);
    at += std::exponential_distribution<double>(rate / kGroupSize)(random);
    for (int index = 0; index < kGroupSize; ++index) {
      SimulatedArrival arrival;
      arrival.at_ = Duration(Duration::rep(at * 1e6));
      const double kind = draw(random);
      const auto session = std::uint64_t(draw(random) * 340);
      const double spread = std::min(size(random), 8.0) / 1.5;
      double own = 0;
      if (kind < 0.37) {
        own = 2890 * spread;
        arrival.parts_ = { { session % 4 + 1, 2520 },
                           { 1000 + session, 3780 } };
        arrival.objective_ = std::chrono::milliseconds(800);
        arrival.value_ = 3.4;
      } else if (kind < 0.63) {
        own = 1800 * spread;
        arrival.parts_ = { { session % 8 + 10, 341 }, { 2000 + session, 227 } };
        arrival.objective_ = std::chrono::milliseconds(600);
        arrival.value_ = 1.8;
      } else {
        own = 543 * spread;
        arrival.parts_ = { { session % 40 + 20, 103 }, { 3000 + session, 69 } };
        arrival.objective_ = std::chrono::milliseconds(500);
        arrival.value_ = 0.46;
      }
      arrival.parts_.push_back({ nextOwn++, std::uint32_t(own) });
      for (const edge::PromptPart& part : arrival.parts_) {
        arrival.promptTokens_ += part.tokens_;
      }
      arrivals.push_back(std::move(arrival));
    }
  }
  return arrivals;
}

edge::Placement
FewestRunning(const edge::PoolView& aPool, const edge::PlacementQuery& aQuery)
{
  edge::Placement best;
  double fewest = 1e9;
  std::size_t equal = 0;
  for (const auto& [id, view] : aPool.servers_) {
    const double running = edge::RunningRequests(view);
    equal = running == fewest ? equal + 1 : 1;
    const bool isPicked =
      running < fewest ||
      (running == fewest && std::fmod(aQuery.draw_ * 7919 * double(equal),
                                      1.0) < 1.0 / double(equal));
    if (isPicked) {
      fewest = std::min(fewest, running);
      best.server_ = id;
    }
  }
  best.tokens_ = aQuery.promptTokens_;
  best.readStart_ = aQuery.now_;
  best.readEnd_ = aQuery.now_;
  return best;
}

} // namespace sycamoreward
