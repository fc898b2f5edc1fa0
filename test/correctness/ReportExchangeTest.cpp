// Reports of many entry instances, which are sent to the collectors. Links are
// cut for some seconds, as when a process is suspended or partitioned.

#include "edge/ReportExchange.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"

#include <criterion/criterion.h>

#include <memory>
#include <vector>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

constexpr std::size_t kInstances = 24;

struct Instance
{
  Instance(EventLoop& aLoop,
           DecisionLog& aLog,
           EdgeMetrics& aMetrics,
           FakePeerHub& aHub,
           const PeerIdentity& aSelf)
    : self_(aSelf)
    , state_(aLoop, WireCodec{}, SystemBounds{}, aLog, aMetrics, 1)
    , network_(aHub, aSelf)
  {
    state_.self_ = aSelf.instance_;
    reports_ =
      std::make_unique<ReportExchange>(state_, network_, aSelf, [this] {
        return SelfStatus{ true, false, FencingToken(epoch_) };
      });
  }

  PeerIdentity self_;
  std::uint64_t epoch_ = 0;
  EdgeState state_;
  FakePeerNetwork network_;
  std::unique_ptr<ReportExchange> reports_;
};

PeerIdentity
Identity(std::size_t aIndex)
{
  PeerIdentity identity;
  identity.instance_ = InstanceId("i" + std::to_string(aIndex));
  identity.incarnation_ = Incarnation(1);
  // The first three are the collectors.
  identity.strength_ = aIndex < 3 ? 500 - aIndex : 120;
  return identity;
}

struct Fleet
{
  Fleet()
  {
    clock_.Advance(std::chrono::hours(1));
    std::vector<PeerIdentity> members;
    for (std::size_t index = 0; index < kInstances; ++index) {
      members.push_back(Identity(index));
    }
    for (const PeerIdentity& member : members) {
      instances_.push_back(
        std::make_unique<Instance>(loop_, log_, metrics_, hub_, member));
      instances_.back()->reports_->SetMembers(members);
    }
    RunFor(std::chrono::seconds(4));
  }

  void RunFor(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(25);
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      // Delivers messages and their replies.
      for (int round = 0; round < 4; ++round) {
        loop_.RunReady();
      }
    }
  }

  void Isolate(std::size_t aIndex, bool aIsPartitioned)
  {
    for (const auto& other : instances_) {
      const std::string self = instances_[aIndex]->self_.instance_.Value();
      const std::string name = other->self_.instance_.Value();
      if (aIsPartitioned) {
        hub_.Partition(self, name);
      } else {
        hub_.Heal(self, name);
      }
    }
  }

  ReportExchange& Reports(std::size_t aIndex)
  {
    return *instances_[aIndex]->reports_;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  std::vector<std::unique_ptr<Instance>> instances_;
};

} // namespace

Test(ReportExchange, OnlyCollectorsAndTheDutyHolderGetAllReports)
{
  Fleet fleet;
  fleet.instances_[7]->epoch_ = 1;
  fleet.RunFor(std::chrono::seconds(4));
  for (std::size_t index = 0; index < kInstances; ++index) {
    cr_expect_not(fleet.Reports(index).IsIsolated(), "i%zu", index);
    cr_expect_eq(fleet.Reports(index).ReportsCompleteFor() > Duration(0),
                 index < 3 || index == 7,
                 "i%zu",
                 index);
    cr_expect_eq(fleet.Reports(index).LiveCount(), kInstances, "i%zu", index);
  }
}

// Guards against a suspended instance that does not rejoin. It assumed that all
// others were gone and that it was a collector, so it no longer asked for
// digests. As the holder of the duties it reported usage without the others'
// counts and released engines.
Test(ReportExchange, ASuspendedInstanceRejoinsTheCollectors)
{
  for (const std::size_t index : { 0, 7 }) {
    Fleet fleet;
    fleet.Isolate(index, true);
    fleet.RunFor(std::chrono::seconds(7));
    cr_expect(fleet.Reports(index).IsIsolated());
    cr_expect_eq(fleet.Reports(index).ReportsCompleteFor(), Duration(0));
    fleet.Isolate(index, false);
    fleet.RunFor(std::chrono::seconds(16));
    cr_expect_not(fleet.Reports(index).IsIsolated());
    for (std::size_t other = 0; other < kInstances; ++other) {
      cr_expect_eq(fleet.Reports(other).LiveCount(), kInstances, "i%zu", other);
      cr_expect_eq(fleet.Reports(other).ReportsCompleteFor() > Duration(0),
                   other < 3,
                   "i%zu after i%zu was isolated",
                   other,
                   index);
    }
  }
}

// Guards against dropping the reports of a new incarnation, whose sequence
// starts from 1 again. A collector that had learned of the incarnation from a
// digest took them for old ones.
Test(ReportExchange, AcceptsReportsOfANewIncarnation)
{
  Fleet fleet;
  fleet.RunFor(std::chrono::seconds(20));
  fleet.instances_[9].reset();
  PeerIdentity restarted = Identity(9);
  restarted.incarnation_ = Incarnation(2);
  fleet.instances_[9] = std::make_unique<Instance>(
    fleet.loop_, fleet.log_, fleet.metrics_, fleet.hub_, restarted);
  std::vector<PeerIdentity> members;
  for (std::size_t index = 0; index < kInstances; ++index) {
    members.push_back(index == 9 ? restarted : Identity(index));
  }
  fleet.Reports(9).SetMembers(members);
  fleet.RunFor(std::chrono::seconds(3));
  CountBegun(
    fleet.instances_[9]->state_.usage_, WorkspaceId("w"), fleet.clock_.Wall());
  const std::uint64_t window =
    WindowOf(fleet.instances_[9]->state_.usage_, fleet.clock_.Wall());
  // A new holder of the duties, which knows the others only from digests at
  // first.
  fleet.instances_[7]->epoch_ = 1;
  fleet.RunFor(std::chrono::seconds(4));
  cr_expect_eq(SumWindow(fleet.instances_[7]->state_.usage_, window)["w"], 1);
}

// Guards against learning too late of leaving servers. An instance partitioned
// from its collector learned nothing of them for four seconds, a second more
// than the platform allows.
Test(ReportExchange, ReadsTheStoreItselfSoonAfterItsCollectorIsCutOff)
{
  Fleet fleet;
  cr_expect_not(fleet.Reports(8).ReadsStore());
  fleet.Isolate(0, true);
  Duration passed{ 0 };
  while (!fleet.Reports(8).ReadsStore() && passed < std::chrono::seconds(5)) {
    fleet.RunFor(std::chrono::milliseconds(25));
    passed += std::chrono::milliseconds(25);
  }
  cr_expect_leq(passed.count(),
                Duration(std::chrono::milliseconds(1600)).count());
  // The next collector delivers the rows.
  fleet.RunFor(std::chrono::milliseconds(1200));
  cr_expect_not(fleet.Reports(8).ReadsStore());
}

// Guards against partitioned groups that do not merge again, because each has
// collectors of its own. The holder of the duties saw a third of the demand and
// released engines.
Test(ReportExchange, PartitionedGroupsMergeAgain)
{
  Fleet fleet;
  // Partitions the second half from the first; the store still lists all
  // instances.
  const auto setPartitioned = [&](bool aIsPartitioned) {
    for (std::size_t one = 0; one < kInstances / 2; ++one) {
      for (std::size_t other = kInstances / 2; other < kInstances; ++other) {
        const std::string left = fleet.instances_[one]->self_.instance_.Value();
        const std::string right =
          fleet.instances_[other]->self_.instance_.Value();
        if (aIsPartitioned) {
          fleet.hub_.Partition(left, right);
        } else {
          fleet.hub_.Heal(left, right);
        }
      }
    }
  };
  setPartitioned(true);
  fleet.RunFor(std::chrono::seconds(16));
  cr_expect_lt(fleet.Reports(20).LiveCount(), kInstances);
  setPartitioned(false);
  fleet.RunFor(std::chrono::seconds(12));
  for (std::size_t index = 0; index < kInstances; ++index) {
    cr_expect_eq(fleet.Reports(index).LiveCount(), kInstances, "i%zu", index);
    cr_expect_eq(fleet.Reports(index).ReportsCompleteFor() > Duration(0),
                 index < 3,
                 "i%zu",
                 index);
  }
}

// Instances at their local limit ask the first collector for more quota.
Test(ReportExchange, ACollectorGrantsQuotaAndOthersDoNot)
{
  Fleet fleet;
  for (const auto& instance : fleet.instances_) {
    Quota& quota = instance->state_.quotas_[WorkspaceId("w")];
    SetLimits(quota, 100000, 100000, 20000, fleet.clock_.Now());
  }
  fleet.RunFor(std::chrono::seconds(2));
  const auto ask = [&](std::size_t aIndex, double aAmount) {
    std::optional<bool> answer;
    fleet.Reports(aIndex).RequestQuota(
      WorkspaceId("w"), aAmount, [&](bool aIsGranted) { answer = aIsGranted; });
    fleet.RunFor(std::chrono::milliseconds(100));
    cr_assert(answer.has_value());
    return *answer;
  };
  cr_expect(ask(5, 10000));
  cr_expect(ask(0, 10000));
  cr_expect_not(ask(6, 90000));
  // No quota is granted if the collectors do not answer.
  fleet.Isolate(8, true);
  cr_expect_not(ask(8, 1000));
}
