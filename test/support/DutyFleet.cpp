#include "support/DutyFleet.h"

#include "edge/Cloud.h"
#include "edge/DutyTask.h"
#include "edge/EraTracker.h"
#include "edge/RelayedRows.h"
#include "edge/ReportExchange.h"
#include "edge/TableWatch.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"
#include "support/MemoryStore.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace sycamoreward {

using namespace edge;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr double kStepSeconds = 0.01;
// Copies are taken at this interval and kept for so many of them.
constexpr double kCopyInterval = 0.5;
constexpr std::size_t kCopies = 18;
// Instances read the list of instances again at this interval.
constexpr double kMemberInterval = 5;
constexpr double kWindowSeconds = 5;
// Time after the end of a window within which its usage is due.
constexpr double kDueSeconds = 10;

const WorkspaceId kWorkspace("w");

// The platform's side of the duties.
class RecordingCloud
{
public:
  RecordingCloud(EventLoop& aLoop,
                 double aLostAnswers,
                 std::mt19937_64& aRandom)
    : loop_(aLoop)
    , lostAnswers_(aLostAnswers)
    , random_(aRandom)
  {
  }

  void Report(const DutyHolder& aHolder,
              const UsageReport& aReport,
              Cloud::OnReply aOnReply)
  {
    const auto delay = [this] {
      return std::chrono::milliseconds(1 + random_() % 40);
    };
    loop_.CallAfter(
      delay(), [this, delay, aHolder, aReport, onReply = std::move(aOnReply)] {
        CloudStatus status = Accept(aHolder, aReport);
        const bool isLost =
          std::uniform_real_distribution<double>(0, 1)(random_) < lostAnswers_;
        status = isLost ? CloudStatus::Unknown : status;
        loop_.CallAfter(delay(), [status, onReply] { onReply(status); });
      });
  }

  std::map<std::uint64_t, WorkspaceCounts> accepted_;
  std::vector<std::string> violations_;

private:
  CloudStatus Accept(const DutyHolder& aHolder, const UsageReport& aReport)
  {
    const std::uint64_t epoch = aHolder.epoch_.Value();
    const auto known = holders_.emplace(epoch, aHolder.instance_.Value()).first;
    if (known->second != aHolder.instance_.Value()) {
      violations_.push_back("two holders of epoch " + std::to_string(epoch));
    }
    if (epoch < holders_.rbegin()->first) {
      return CloudStatus::Superseded;
    }
    const auto first =
      accepted_.emplace(aReport.window_, aReport.counts_).first;
    if (first->second != aReport.counts_) {
      violations_.push_back("other counts of window " +
                            std::to_string(aReport.window_) + " by " +
                            aHolder.instance_.Value());
    }
    return CloudStatus::Ok;
  }

  EventLoop& loop_;
  double lostAnswers_;
  std::mt19937_64& random_;
  std::map<std::uint64_t, std::string> holders_;
};

// The path of one instance to the platform. Answers that come after the
// instance has ended are dropped.
class InstanceCloud final : public Cloud
{
public:
  explicit InstanceCloud(RecordingCloud& aCloud)
    : cloud_(aCloud)
  {
  }

  void Send(const DutyHolder& aHolder,
            const UsageReport& aReport,
            OnReply aOnReply) override
  {
    const std::weak_ptr<int> weak = alive_;
    cloud_.Report(aHolder,
                  aReport,
                  [weak, onReply = std::move(aOnReply)](CloudStatus aStatus) {
                    if (!weak.expired()) {
                      onReply(aStatus);
                    }
                  });
  }

  void Send(const DutyHolder&, const EngineOrder&, OnReply) override {}

private:
  RecordingCloud& cloud_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// The path of one instance to the store, with the same rule.
class InstanceStore final : public RowStore
{
public:
  explicit InstanceStore(RowStore& aStore)
    : store_(aStore)
  {
  }

  void Read(const std::string& aTable,
            const std::string& aAfter,
            OnReply aOnReply) override
  {
    store_.Read(aTable, aAfter, Guard(std::move(aOnReply)));
  }
  void Watch(const std::string& aTable,
             std::uint64_t aVersion,
             Duration aWait,
             OnReply aOnReply) override
  {
    store_.Watch(aTable, aVersion, aWait, Guard(std::move(aOnReply)));
  }
  void Write(const StoreWrite& aWrite, OnReply aOnReply) override
  {
    store_.Write(aWrite, Guard(std::move(aOnReply)));
  }

private:
  OnReply Guard(OnReply aOnReply) const
  {
    const std::weak_ptr<int> weak = alive_;
    return [weak, onReply = std::move(aOnReply)](const StoreReply& aReply) {
      if (!weak.expired()) {
        onReply(aReply);
      }
    };
  }

  RowStore& store_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// An entry instance without its request path.
struct Instance
{
  Instance(EventLoop& aLoop,
           DecisionLog& aLog,
           EdgeMetrics& aMetrics,
           FakePeerHub& aHub,
           MemoryStore& aStore,
           RecordingCloud& aCloud,
           const PeerIdentity& aSelf)
    : state_(aLoop, WireCodec{}, SystemBounds{}, aLog, aMetrics, 1)
    , guard_(aStore)
    , store_(guard_, state_.storeEra_)
    , cloud_(aCloud)
    , network_(aHub, aSelf)
    , duties_((state_.self_ = aSelf.instance_, state_),
              store_,
              cloud_,
              aSelf.incarnation_)
    , reports_(state_,
               network_,
               aSelf,
               [this] {
                 return SelfStatus{ true, false, duties_.HeldEpoch() };
               })
    , watch_(aLoop,
             store_,
             aLog,
             TableWatchOptions{ "servers" },
             TableWatch::Callbacks{ [] {}, nullptr, nullptr })
  {
    duties_.Start(reports_);
    reports_.SetRelay(MakeRowRelay({ { "servers", &watch_ } }));
  }

  EdgeState state_;
  InstanceStore guard_;
  EraTracker store_;
  InstanceCloud cloud_;
  FakePeerNetwork network_;
  DutyTask duties_;
  ReportExchange reports_;
  TableWatch watch_;
};

class Fleet
{
public:
  Fleet(const DutyScenario& aScenario, std::uint64_t aSeed)
    : scenario_(aScenario)
    , random_(aSeed)
    , cloud_(loop_, aScenario.lostAnswers_, random_)
  {
    clock_.Advance(std::chrono::hours(1));
    for (std::size_t index = 0; index < aScenario.instances_; ++index) {
      PeerIdentity identity;
      identity.instance_ = InstanceId("i" + std::to_string(100 + index));
      identity.incarnation_ = Incarnation(1);
      identity.strength_ = 500 - index;
      members_.push_back(identity);
      startAt_.push_back(0);
    }
    instances_.resize(aScenario.instances_);
  }

  DutyOutcome Play()
  {
    // The last windows are reported after the disruptions.
    const double end = scenario_.seconds_ + 2 * kDueSeconds;
    for (now_ = 0; now_ < end; now_ += kStepSeconds) {
      StartDue();
      ListMembers();
      KeepCopy();
      if (now_ > kWindowSeconds && now_ < scenario_.seconds_) {
        Disrupt();
      }
      if (returnAt_ >= 0 && now_ >= returnAt_) {
        Return();
      }
      CountRequests();
      Advance();
    }
    DutyOutcome outcome;
    outcome.violations_ = cloud_.violations_;
    for (const std::uint64_t window : begun_) {
      const auto isDue = double(window + 1) * kWindowSeconds + kDueSeconds <
                         Seconds(clock_.Wall());
      outcome.due_ += isDue;
      outcome.reported_ += isDue && cloud_.accepted_.count(window) != 0;
    }
    return outcome;
  }

private:
  static double Seconds(WallTime aTime)
  {
    return double(aTime.time_since_epoch().count()) / 1e6;
  }

  bool IsNow(double aMeanCount)
  {
    const double chance = aMeanCount * kStepSeconds / scenario_.seconds_;
    return std::uniform_real_distribution<double>(0, 1)(random_) < chance;
  }

  void StartDue()
  {
    for (std::size_t index = 0; index < instances_.size(); ++index) {
      if (instances_[index] == nullptr && now_ >= startAt_[index]) {
        instances_[index] = std::make_unique<Instance>(
          loop_, log_, metrics_, hub_, store_, cloud_, members_[index]);
        instances_[index]->reports_.SetMembers(members_);
      }
    }
  }

  void Kill(std::size_t aIndex, double aSeconds)
  {
    if (instances_[aIndex] != nullptr) {
      instances_[aIndex] = nullptr;
      members_[aIndex].incarnation_ =
        Incarnation(members_[aIndex].incarnation_.Value() + 1);
    }
    startAt_[aIndex] = now_ + aSeconds;
  }

  void ListMembers()
  {
    if (now_ - lastListed_ < kMemberInterval) {
      return;
    }
    lastListed_ = now_;
    for (const auto& instance : instances_) {
      if (instance != nullptr) {
        instance->reports_.SetMembers(members_);
      }
    }
  }

  void KeepCopy()
  {
    if (now_ - lastCopy_ >= kCopyInterval && !store_.isAway_) {
      lastCopy_ = now_;
      copies_.push_back(store_.Content());
      if (copies_.size() > kCopies) {
        copies_.pop_front();
      }
    }
  }

  void Disrupt()
  {
    if (IsNow(scenario_.restarts_)) {
      Kill(random_() % instances_.size(), 0.3 + double(random_() % 20) / 10);
    }
    bool returns = IsNow(scenario_.returns_);
    if (IsNow(scenario_.losses_)) {
      // The holder is usually among the first.
      for (std::size_t index = 0; index < (instances_.size() + 2) / 3;
           ++index) {
        Kill(index, 4 + double(random_() % 100) / 10);
      }
      returns = returns || random_() % 2 == 0;
    }
    if (returns && !store_.isAway_ && !copies_.empty()) {
      store_.isAway_ = true;
      returnAt_ = now_ + double(random_() % 30) / 10;
    }
  }

  void Return()
  {
    returnAt_ = -1;
    const std::size_t index = random_() % copies_.size();
    store_.Restore(copies_[index]);
    store_.isAway_ = false;
    copies_.resize(index + 1);
  }

  void CountRequests()
  {
    for (const auto& instance : instances_) {
      if (instance != nullptr && random_() % 8 == 0) {
        CountBegun(instance->state_.usage_, kWorkspace, clock_.Wall());
        begun_.insert(WindowOf(instance->state_.usage_, clock_.Wall()));
      }
    }
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
        instance->watch_.SetPaused(!instance->reports_.ReadsStore());
      }
    }
  }

  DutyScenario scenario_;
  std::mt19937_64 random_;
  double now_ = 0;
  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  MemoryStore store_{ loop_ };
  RecordingCloud cloud_;
  std::vector<PeerIdentity> members_;
  std::vector<std::unique_ptr<Instance>> instances_;
  // When each instance starts, if it does not run.
  std::vector<double> startAt_;
  std::deque<MemoryStore::Copy> copies_;
  double lastCopy_ = -1;
  double lastListed_ = 0;
  double returnAt_ = -1;
  std::set<std::uint64_t> begun_;
};

} // namespace

DutyOutcome
PlayDuties(const DutyScenario& aScenario, std::uint64_t aSeed)
{
  return Fleet(aScenario, aSeed).Play();
}

} // namespace sycamoreward
