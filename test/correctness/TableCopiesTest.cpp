// The copies of a table of the store on several instances, when the calls of
// one of them to the store are not answered.

#include "edge/RelayedRows.h"
#include "edge/ReportExchange.h"
#include "edge/TableWatch.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"
#include "support/LossyStore.h"
#include "support/SilentStore.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

// Time for messages on their way and for the processing of a change, which the
// test does not simulate.
constexpr Duration kMargin = std::chrono::milliseconds(200);

// What the platform allows on a site with a number of instances.
struct SiteBounds
{
  std::size_t instances_ = 0;
  // Time after an outage from which a change has to be applied in time.
  Duration contact_{ 0 };
  // Time within which a change is applied.
  Duration apply_{ 0 };
};

constexpr SiteBounds kSmallSite{ 6,
                                 std::chrono::milliseconds(3000),
                                 std::chrono::milliseconds(2000) };
constexpr SiteBounds kLargeSite{ 24,
                                 std::chrono::milliseconds(4000),
                                 std::chrono::milliseconds(3000) };

struct CopyInstance
{
  CopyInstance(EventLoop& aLoop,
               DecisionLog& aLog,
               EdgeMetrics& aMetrics,
               FakePeerHub& aHub,
               RowStore& aStore,
               const PeerIdentity& aSelf)
    : state_(aLoop, WireCodec{}, SystemBounds{}, aLog, aMetrics, 1)
    , network_(aHub, aSelf)
    , path_(aLoop, aStore)
    , reports_(state_,
               network_,
               aSelf,
               [] {
                 return SelfStatus{ true, false, {} };
               })
    , watch_(aLoop,
             path_,
             aLog,
             TableWatchOptions{ "table" },
             TableWatch::Callbacks{ [] {}, nullptr })
  {
    state_.self_ = aSelf.instance_;
    RowRelay relay = MakeRowRelay({ { "table", &watch_ } });
    relay.onRowsMissing_ = [this] { UpdateStoreReading(); };
    reports_.SetRelay(std::move(relay));
  }

  // As Edge does.
  void UpdateStoreReading()
  {
    if (!reports_.IsMesh()) {
      watch_.SetWait(std::chrono::milliseconds(800));
    }
    watch_.SetPaused(!reports_.ReadsStore());
  }

  EdgeState state_;
  FakePeerNetwork network_;
  LossyStore path_;
  ReportExchange reports_;
  TableWatch watch_;
};

class CopyFleet
{
public:
  explicit CopyFleet(std::size_t aInstances)
  {
    clock_.Advance(std::chrono::hours(1));
    store_.Put("row", "0");
    std::vector<PeerIdentity> members;
    for (std::size_t index = 0; index < aInstances; ++index) {
      PeerIdentity identity;
      identity.instance_ = InstanceId("i" + std::to_string(index));
      identity.incarnation_ = Incarnation(1);
      // The first three are the collectors of a large site.
      identity.strength_ = index < 3 ? 500 - index : 120;
      members.push_back(identity);
    }
    for (const PeerIdentity& member : members) {
      instances_.push_back(std::make_unique<CopyInstance>(
        loop_, log_, metrics_, hub_, store_, member));
      instances_.back()->reports_.SetMembers(members);
      RunFor(std::chrono::milliseconds(30));
    }
    RunFor(std::chrono::seconds(5));
  }

  void RunFor(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(20);
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      // Delivers messages and their replies.
      for (int round = 0; round < 4; ++round) {
        loop_.RunReady();
      }
      for (const auto& instance : instances_) {
        instance->UpdateStoreReading();
      }
    }
  }

  MonotonicTime Now() { return clock_.Now(); }

  // The smallest value of the row on any instance.
  int OldestValue() const
  {
    int oldest = std::numeric_limits<int>::max();
    for (const auto& instance : instances_) {
      oldest =
        std::min(oldest, std::stoi(instance->watch_.Rows().at("row").value_));
    }
    return oldest;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  SilentStore store_{ loop_ };
  std::vector<std::unique_ptr<CopyInstance>> instances_;
};

// Calls of one instance that are left unanswered after the store has returned.
struct LostCalls
{
  std::size_t instance_ = 0;
  // From the return of the store on.
  Duration at_{ 0 };
  std::uint64_t count_ = 1;
};

// Returns the longest time by which a change was applied later than aSite
// allows on any instance, when the store is silent for aOutage and the row
// changes every 250 ms after its return.
Duration
LongestDelay(const SiteBounds& aSite, Duration aOutage, const LostCalls& aLost)
{
  constexpr Duration kChangeInterval = std::chrono::milliseconds(250);
  constexpr Duration kStep = std::chrono::milliseconds(50);
  CopyFleet fleet(aSite.instances_);
  fleet.store_.SetSilent(true);
  fleet.RunFor(aOutage);
  fleet.store_.SetSilent(false);
  const MonotonicTime start = fleet.Now();
  // When each value was written.
  std::vector<MonotonicTime> written{ start };
  Duration longest = -aSite.apply_;
  std::size_t applied = 0;
  bool isLost = false;
  while (fleet.Now() - start < std::chrono::seconds(9)) {
    const Duration passed = fleet.Now() - start;
    const bool isChanging = passed < std::chrono::seconds(4);
    if (isChanging && passed >= kChangeInterval * int(written.size())) {
      fleet.store_.Put("row", std::to_string(written.size()));
      written.push_back(fleet.Now());
    }
    if (!isLost && passed >= aLost.at_) {
      isLost = true;
      fleet.instances_[aLost.instance_]->path_.LoseCalls(aLost.count_);
    }
    fleet.RunFor(kStep);
    const auto oldest = std::size_t(fleet.OldestValue());
    for (; applied < oldest; ++applied) {
      const Duration delay = written[applied + 1] - start;
      const Duration allowed =
        std::max(aSite.apply_, aSite.contact_ - delay) - kMargin;
      longest = std::max(longest, fleet.Now() - written[applied + 1] - allowed);
    }
  }
  cr_expect_eq(applied + 1, written.size(), "a change was never applied");
  return longest;
}

// Expects that a change is in force in time on all instances of aSite, whenever
// aCount calls of one instance in series are left unanswered.
void
ExpectChangesInTime(const SiteBounds& aSite,
                    std::size_t aInstance,
                    std::uint64_t aCount,
                    Duration aStep)
{
  for (const int outage : { 0, 900, 8200 }) {
    for (Duration at{ 0 }; at < std::chrono::milliseconds(2800); at += aStep) {
      const Duration delay = LongestDelay(
        aSite, std::chrono::milliseconds(outage), { aInstance, at, aCount });
      cr_expect_leq(delay.count(),
                    0,
                    "%lld us late: %d ms of outage, calls lost %lld us later",
                    static_cast<long long>(delay.count()),
                    outage,
                    static_cast<long long>(at.count()));
    }
  }
}

} // namespace

// Guards against a revision that one instance applies late because the store
// did not answer one of its calls.
Test(TableCopies, OneUnansweredCallDelaysNoChange)
{
  ExpectChangesInTime(kSmallSite, 1, 1, std::chrono::milliseconds(100));
}

Test(TableCopies, ThreeUnansweredCallsInSeriesDelayNoChange)
{
  ExpectChangesInTime(kSmallSite, 1, 3, std::chrono::milliseconds(100));
}

Test(TableCopies, UnansweredCallsOfACollectorDelayNoChange)
{
  ExpectChangesInTime(kLargeSite, 0, 3, std::chrono::milliseconds(350));
}

// Guards against a large deployment that an instance can get from the store
// only. A row of the platform's store has up to 64 KiB.
Test(TableCopies, FewInstancesRelayLargeRows)
{
  CopyFleet fleet(kSmallSite.instances_);
  fleet.instances_[1]->path_.LoseCalls(3);
  fleet.store_.Put("row", "7" + std::string(64 * 1024 - 1, ' '));
  fleet.RunFor(kSmallSite.apply_ - kMargin);
  cr_expect_eq(fleet.OldestValue(), 7);
}
