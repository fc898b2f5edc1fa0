#include "support/LimitFleet.h"

#include "edge/PlacementExchange.h"
#include "edge/ReportExchange.h"
#include "edge/ServerLimits.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace sycamoreward {

using namespace edge;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr double kStepSeconds = 0.01;
constexpr double kAnswerSeconds = 0.06;
// An answer counts as told after this time.
constexpr double kToldSeconds = 0.5;
constexpr double kCutStart = 5;
constexpr double kCutEnd = 9;
constexpr double kRestartTime = 6;
constexpr double kDownSeconds = 1;

const ServiceName kService("s");

struct Instance
{
  Instance(EventLoop& aLoop,
           DecisionLog& aLog,
           EdgeMetrics& aMetrics,
           FakePeerHub& aHub,
           const PeerIdentity& aSelf,
           std::uint64_t aSeed)
    : state_(aLoop, WireCodec{}, SystemBounds{}, aLog, aMetrics, aSeed)
    , network_(aHub, aSelf)
  {
    state_.self_ = aSelf.instance_;
    reports_ = std::make_unique<ReportExchange>(state_, network_, aSelf, [] {
      return SelfStatus{ true, false, {} };
    });
    placement_ = std::make_unique<PlacementExchange>(state_, network_);
    state_.placementExchange_ = placement_.get();
    state_.reportSoon_ = [this] { reports_->ReportSoon(); };
  }

  EdgeState state_;
  FakePeerNetwork network_;
  std::unique_ptr<ReportExchange> reports_;
  std::unique_ptr<PlacementExchange> placement_;
};

struct Arrival
{
  double time_ = 0;
  std::size_t instance_ = 0;
};

class Fleet
{
public:
  Fleet(const LimitScenario& aScenario, std::uint64_t aSeed)
    : scenario_(aScenario)
    , random_(aSeed)
    , arrivals_(aScenario.servers_)
  {
    clock_.Advance(std::chrono::hours(1));
    for (std::size_t index = 0; index < aScenario.instances_; ++index) {
      PeerIdentity identity;
      identity.instance_ = InstanceId("i" + std::to_string(index));
      identity.incarnation_ = Incarnation(1);
      identity.strength_ = 500 - index;
      members_.push_back(identity);
      instances_.push_back(nullptr);
      told_.emplace_back(aScenario.servers_, -1);
    }
    for (std::size_t index = 0; index < aScenario.instances_; ++index) {
      Start(index);
    }
    // Callers come some seconds after the system has started.
    for (double passed = 0; passed < 5; passed += kStepSeconds) {
      Advance();
    }
  }

  LimitOutcome Play()
  {
    for (now_ = 0; now_ < scenario_.seconds_; now_ += kStepSeconds) {
      ApplyFaults();
      std::poisson_distribution<int> count(scenario_.demand_ * kStepSeconds);
      for (int left = count(random_); left > 0; --left) {
        const std::size_t index = random_() % instances_.size();
        if (instances_[index] != nullptr) {
          Place(index);
        }
      }
      AnswerRequests();
      Advance();
    }
    LimitOutcome outcome;
    for (std::size_t server = 0; server < scenario_.rates_.size(); ++server) {
      outcome.mostInWindow_.push_back(MostInWindow(server));
      outcome.usedFraction_.push_back(UsedFraction(server));
    }
    return outcome;
  }

private:
  struct Running
  {
    double end_ = 0;
    std::size_t instance_ = 0;
    std::size_t server_ = 0;
    std::uint64_t work_ = 0;
    std::optional<PlacedWork> placed_;
  };

  static ServerId Server(std::size_t aIndex)
  {
    return ServerId("server-" + std::to_string(aIndex));
  }

  void Advance()
  {
    clock_.Advance(kStep);
    // Delivers messages and their replies.
    for (int round = 0; round < 3; ++round) {
      loop_.RunReady();
    }
    for (const auto& instance : instances_) {
      if (instance != nullptr) {
        instance->placement_->SetPlacers(instance->reports_->Placers());
      }
    }
  }

  void Start(std::size_t aIndex)
  {
    instances_[aIndex] = std::make_unique<Instance>(
      loop_, log_, metrics_, hub_, members_[aIndex], random_());
    EdgeState& state = instances_[aIndex]->state_;
    PoolView& pool = state.pools_[kService];
    pool.service_ = kService;
    pool.isEngine_ = scenario_.isEngine_;
    pool.maxConnections_ = 4000;
    pool.readRate_ = 30;
    pool.workMs_ = 40;
    std::map<ServerId, BackendServer> servers;
    for (std::size_t index = 0; index < scenario_.servers_; ++index) {
      BackendServer& server = servers[Server(index)];
      server.id_ = Server(index);
      server.incarnation_ = Incarnation(1);
      server.service_ = kService;
      server.slots_ = 64;
    }
    ApplyServers(state, servers);
    instances_[aIndex]->reports_->SetMembers(members_);
  }

  void ApplyFaults()
  {
    const auto isNow = [this](double aTime) {
      return now_ >= aTime && now_ < aTime + kStepSeconds;
    };
    for (const std::size_t index : scenario_.restarted_) {
      if (isNow(kRestartTime)) {
        instances_[index] = nullptr;
        std::fill(told_[index].begin(), told_[index].end(), -1);
      } else if (isNow(kRestartTime + kDownSeconds)) {
        members_[index].incarnation_ =
          Incarnation(members_[index].incarnation_.Value() + 1);
        Start(index);
      }
    }
    for (const std::size_t index : scenario_.partitioned_) {
      for (std::size_t other = 0; other < members_.size(); ++other) {
        const auto& cut = scenario_.partitioned_;
        if (std::find(cut.begin(), cut.end(), other) != cut.end()) {
          continue;
        }
        const std::string one = members_[index].instance_.Value();
        const std::string two = members_[other].instance_.Value();
        if (isNow(kCutStart)) {
          hub_.Partition(one, two);
        } else if (isNow(kCutEnd)) {
          hub_.Heal(one, two);
        }
      }
    }
  }

  void Place(std::size_t aIndex)
  {
    EdgeState& state = instances_[aIndex]->state_;
    const PoolView& pool = state.pools_[kService];
    PlacementQuery query;
    query.promptTokens_ = 100;
    query.instances_ = scenario_.instances_;
    query.now_ = clock_.Now();
    query.draw_ = state.Draw();
    instances_[aIndex]->placement_->RequestPlacement(
      pool, query, [this, aIndex, query](std::optional<PlacerAnswer> aAnswer) {
        if (instances_[aIndex] != nullptr) {
          Send(aIndex, query, aAnswer);
        }
      });
  }

  void Send(std::size_t aIndex,
            PlacementQuery aQuery,
            const std::optional<PlacerAnswer>& aAnswer)
  {
    EdgeState& state = instances_[aIndex]->state_;
    PoolView& pool = state.pools_[kService];
    Running running;
    running.end_ = now_ + kAnswerSeconds;
    running.instance_ = aIndex;
    ServerId server;
    if (aAnswer.has_value()) {
      running.placed_ = aAnswer->work_;
      server = aAnswer->placement_.server_;
    } else {
      aQuery.now_ = clock_.Now();
      server = ChooseServer(pool, aQuery).server_;
      if (server.Value().empty()) {
        return;
      }
      running.work_ = state.nextWork_++;
      RecordSent(pool.servers_[server], running.work_, std::nullopt, {});
      CountSent(pool.servers_[server].limit_, clock_.Now());
    }
    running.server_ = std::stoul(server.Value().substr(7));
    running_.push_back(running);
    arrivals_[running.server_].push_back({ now_, aIndex });
  }

  void AnswerRequests()
  {
    while (!running_.empty() && running_.front().end_ <= now_) {
      const Running running = running_.front();
      running_.pop_front();
      Instance* instance = instances_[running.instance_].get();
      if (instance == nullptr) {
        continue;
      }
      std::optional<RequestRate> rate;
      if (running.server_ < scenario_.rates_.size()) {
        rate = RequestRate(scenario_.rates_[running.server_]);
        double& told = told_[running.instance_][running.server_];
        told = told < 0 ? now_ : told;
      }
      PoolView& pool = instance->state_.pools_[kService];
      BackendView& view = pool.servers_[Server(running.server_)];
      ApplyAnsweredLimit(instance->state_, pool, view, rate);
      if (running.placed_.has_value()) {
        instance->placement_->ReportEvent(
          *running.placed_, PlacementEvent::Ended, Duration(0), std::nullopt);
      } else {
        RecordReleased(view, running.work_);
      }
    }
  }

  double MostInWindow(std::size_t aServer) const
  {
    std::deque<double> window;
    std::size_t most = 0;
    for (const Arrival& arrival : arrivals_[aServer]) {
      const double told = told_[arrival.instance_][aServer];
      if (arrival.time_ < kLimitContactSeconds || told < 0 ||
          arrival.time_ < told + kToldSeconds) {
        continue;
      }
      window.push_back(arrival.time_);
      while (window.front() < arrival.time_ - kLimitWindowSeconds) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return double(most);
  }

  double UsedFraction(std::size_t aServer) const
  {
    const auto& arrivals = arrivals_[aServer];
    const auto count =
      std::count_if(arrivals.begin(), arrivals.end(), [](const auto& aArrival) {
        return aArrival.time_ >= kLimitContactSeconds;
      });
    return double(count) / (scenario_.rates_[aServer] *
                            (scenario_.seconds_ - kLimitContactSeconds));
  }

  LimitScenario scenario_;
  std::mt19937_64 random_;
  double now_ = 0;
  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  std::vector<PeerIdentity> members_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::deque<Running> running_;
  std::vector<std::vector<Arrival>> arrivals_;
  // When an answer first told an instance of a server's limit; -1 before.
  std::vector<std::vector<double>> told_;
};

} // namespace

LimitOutcome
PlayLimits(const LimitScenario& aScenario, std::uint64_t aSeed)
{
  return Fleet(aScenario, aSeed).Play();
}

} // namespace sycamoreward
