#include "support/QuotaFleet.h"

#include "edge/EdgeState.h"

#include <algorithm>
#include <deque>
#include <sstream>

namespace sycamoreward {

using namespace edge;

namespace {

constexpr double kWindowSeconds = 8;
constexpr double kExcess = 0.1;
constexpr double kSlack = 110000;
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr double kStepSeconds = 0.01;

const WorkspaceId kWorkspace("w");

SystemBounds
Bounds()
{
  SystemBounds bounds;
  bounds.quotaExcess_ = kExcess;
  bounds.quotaSlack_ = kSlack;
  return bounds;
}

// An entry instance without its request path.
struct Instance
{
  Instance(EventLoop& aLoop,
           DecisionLog& aLog,
           EdgeMetrics& aMetrics,
           FakePeerHub& aHub,
           const PeerIdentity& aSelf)
    : state_(aLoop, WireCodec{}, Bounds(), aLog, aMetrics, 1)
    , network_(aHub, aSelf)
  {
    state_.self_ = aSelf.instance_;
    reports_ = std::make_unique<ReportExchange>(state_, network_, aSelf, [] {
      return SelfStatus{ true, false, {} };
    });
  }

  EdgeState state_;
  FakePeerNetwork network_;
  std::unique_ptr<ReportExchange> reports_;
};

class Fleet
{
public:
  Fleet(const QuotaScenario& aScenario, std::uint64_t aSeed)
    : scenario_(aScenario)
    , random_(aSeed)
  {
    clock_.Advance(std::chrono::hours(1));
    for (std::size_t index = 0; index < scenario_.instances_; ++index) {
      PeerIdentity identity;
      identity.instance_ = InstanceId("i" + std::to_string(index));
      identity.incarnation_ = Incarnation(1);
      identity.strength_ = 500 - index;
      members_.push_back(identity);
      instances_.push_back(nullptr);
    }
    for (std::size_t index = 0; index < scenario_.instances_; ++index) {
      Start(index);
      instances_[index]->reports_->SetMembers(members_);
    }
    // Callers come some seconds after the system has started.
    for (double passed = 0; passed < 10; passed += kStepSeconds) {
      Advance();
    }
  }

  QuotaOutcome Play()
  {
    outcome_.allowed_ =
      (scenario_.rate_ * kWindowSeconds + scenario_.burst_) * (1 + kExcess) +
      kSlack;
    while (now_ < scenario_.seconds_) {
      ApplyCuts();
      ApplyRestarts();
      SendRequests();
      Advance();
      now_ += kStepSeconds;
    }
    return outcome_;
  }

private:
  void Advance()
  {
    clock_.Advance(kStep);
    // Delivers messages and their replies.
    for (int round = 0; round < 3; ++round) {
      loop_.RunReady();
    }
  }

  void Start(std::size_t aIndex)
  {
    instances_[aIndex] =
      std::make_unique<Instance>(loop_, log_, metrics_, hub_, members_[aIndex]);
    WorkspaceSpec workspace;
    workspace.id_ = kWorkspace;
    workspace.ratePerSecond_ = scenario_.rate_;
    workspace.burst_ = scenario_.burst_;
    workspace.countsTokens_ = true;
    Deployment deployment;
    deployment.version_ = Revision(1);
    deployment.workspaces_.push_back(workspace);
    ApplyDeployment(instances_[aIndex]->state_, std::move(deployment));
  }

  bool IsNow(double aTime) const
  {
    return now_ <= aTime && aTime < now_ + kStepSeconds;
  }

  void ApplyCuts()
  {
    hub_.partitioned_.clear();
    for (const QuotaCut& cut : scenario_.cuts_) {
      if (now_ < cut.start_ || now_ >= cut.start_ + cut.seconds_) {
        continue;
      }
      for (const std::size_t inside : cut.instances_) {
        for (std::size_t other = 0; other < members_.size(); ++other) {
          if (std::find(cut.instances_.begin(), cut.instances_.end(), other) !=
              cut.instances_.end()) {
            continue;
          }
          const std::string one = members_[inside].instance_.Value();
          const std::string two = members_[other].instance_.Value();
          if (cut.isOutwards_) {
            hub_.PartitionOneWay(one, two);
          }
          if (cut.isInwards_) {
            hub_.PartitionOneWay(two, one);
          }
        }
      }
    }
  }

  void ApplyRestarts()
  {
    for (const QuotaRestart& restart : scenario_.restarts_) {
      const double start = restart.at_ + restart.downSeconds_;
      if (IsNow(restart.at_)) {
        instances_[restart.instance_].reset();
      }
      if (IsNow(start)) {
        PeerIdentity& identity = members_[restart.instance_];
        identity.incarnation_ = Incarnation(identity.incarnation_.Value() + 1);
        Start(restart.instance_);
      }
      if (IsNow(start + restart.membersSeconds_) &&
          instances_[restart.instance_] != nullptr) {
        instances_[restart.instance_]->reports_->SetMembers(members_);
      }
    }
  }

  void SendRequests()
  {
    const double factor =
      now_ < scenario_.demandStart_ ? 0.7 : scenario_.demand_;
    constexpr double kMeanTokens = 5000;
    std::poisson_distribution<int> count(factor * scenario_.rate_ *
                                         kStepSeconds / kMeanTokens);
    std::uniform_real_distribution<double> tokens(1000, 9000);
    std::uniform_int_distribution<std::size_t> choice(0, members_.size() - 1);
    double started = 0;
    for (int left = count(random_); left > 0; --left) {
      const double amount = std::floor(tokens(random_));
      const std::size_t index = choice(random_);
      if (instances_[index] == nullptr) {
        continue;
      }
      outcome_.requested_ += amount;
      started += Send(*instances_[index], amount) ? amount : 0;
    }
    window_.push_back(started + granted_);
    granted_ = 0;
    sum_ += window_.back();
    outcome_.run_ += window_.back();
    if (double(window_.size()) * kStepSeconds > kWindowSeconds) {
      sum_ -= window_.front();
      window_.pop_front();
    }
    outcome_.mostInWindow_ = std::max(outcome_.mostInWindow_, sum_);
  }

  // Returns whether the instance lets a request run at once. One that is
  // granted later is added to granted_.
  bool Send(Instance& aInstance, double aAmount)
  {
    Quota& quota = aInstance.state_.quotas_[kWorkspace];
    const QuotaResult result = TryConsumeQuota(quota, aAmount, clock_.Now());
    if (result == QuotaResult::Consumed) {
      // Requests of this size are reported early, as on the request path.
      aInstance.reports_->NoteSent(aAmount);
      return true;
    }
    if (result == QuotaResult::LocallyLimited) {
      const auto incarnation = &aInstance;
      aInstance.reports_->RequestQuota(
        kWorkspace, aAmount, [this, incarnation, aAmount](bool aIsGranted) {
          const bool isThere = std::any_of(
            instances_.begin(), instances_.end(), [&](const auto& aEntry) {
              return aEntry.get() == incarnation;
            });
          if (aIsGranted && isThere) {
            ConsumeGranted(
              incarnation->state_.quotas_[kWorkspace], aAmount, clock_.Now());
            granted_ += aAmount;
          }
        });
    }
    return false;
  }

  QuotaScenario scenario_;
  std::mt19937_64 random_;
  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  std::vector<PeerIdentity> members_;
  std::vector<std::unique_ptr<Instance>> instances_;
  // Seconds since the first request.
  double now_ = 0;
  // Tokens run in each step of the last window, and their sum.
  std::deque<double> window_;
  double sum_ = 0;
  double granted_ = 0;
  QuotaOutcome outcome_;
};

} // namespace

QuotaOutcome
PlayQuota(const QuotaScenario& aScenario, std::uint64_t aSeed)
{
  return Fleet(aScenario, aSeed).Play();
}

QuotaScenario
DrawQuotaScenario(std::size_t aInstances, std::mt19937_64& aRandom)
{
  const auto draw = [&](double aFrom, double aTo) {
    return std::uniform_real_distribution<double>(aFrom, aTo)(aRandom);
  };
  const auto pick = [&](std::size_t aCount) {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
  };
  QuotaScenario scenario;
  scenario.instances_ = aInstances;
  scenario.rate_ = std::floor(draw(30000, 300000) * double(aInstances) /
                              double(std::min<std::size_t>(aInstances, 10)));
  scenario.burst_ = std::floor(scenario.rate_ * draw(0.25, 1.5));
  scenario.demand_ = draw(1, 8);
  scenario.demandStart_ = draw(0, 6);
  for (std::size_t left = pick(3); left > 0; --left) {
    QuotaCut cut;
    cut.start_ = draw(1, 12);
    cut.seconds_ = draw(0.2, 9);
    std::vector<std::size_t> order(aInstances);
    for (std::size_t index = 0; index < aInstances; ++index) {
      order[index] = index;
    }
    std::shuffle(order.begin(), order.end(), aRandom);
    order.resize(1 + pick(std::max<std::size_t>(aInstances / 2, 1)));
    cut.instances_ = order;
    const std::size_t direction = pick(4);
    cut.isOutwards_ = direction != 1;
    cut.isInwards_ = direction != 2;
    scenario.cuts_.push_back(cut);
  }
  for (std::size_t left = pick(4); left > 0; --left) {
    scenario.restarts_.push_back(
      { draw(1, 14), pick(aInstances), draw(0.5, 1.5), draw(0, 5) });
  }
  return scenario;
}

std::string
ToText(const QuotaScenario& aScenario)
{
  std::ostringstream text;
  text << aScenario.instances_ << " instances, rate " << aScenario.rate_
       << ", burst " << aScenario.burst_ << ", demand " << aScenario.demand_
       << " from " << aScenario.demandStart_;
  for (const QuotaCut& cut : aScenario.cuts_) {
    text << "; cut of " << cut.instances_.size() << " at " << cut.start_
         << " for " << cut.seconds_ << (cut.isOutwards_ ? " out" : "")
         << (cut.isInwards_ ? " in" : "");
  }
  for (const QuotaRestart& restart : aScenario.restarts_) {
    text << "; restart of " << restart.instance_ << " at " << restart.at_
         << " after " << restart.downSeconds_ << ", members after "
         << restart.membersSeconds_;
  }
  return text.str();
}

} // namespace sycamoreward
