// Properties of membership: failure detection, dissemination of events and
// their cost.

#include "support/MemberSimulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>

using namespace sycamoreward;

namespace {

int
PrecedenceOf(MemberState aState)
{
  const MemberState order[] = { MemberState::Live,
                                MemberState::Suspect,
                                MemberState::Leaving,
                                MemberState::Dead };
  return int(std::find(order, order + 4, aState) - order);
}

MemberList
ListOf(std::size_t aCount, std::size_t aDomains)
{
  MemberList list;
  for (std::size_t index = 0; index < aCount; ++index) {
    list.members_.push_back(
      { MemberSimulation::IdentityOf(index, aDomains), MemberState::Live });
  }
  return list;
}

} // namespace

// Guards against a live member that is still declared dead after a partition, a
// one-way partition or a false suspicion, and against a dead member that is
// still listed as live.
Test(Member, ConvergesAfterPartitions)
{
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(3, 9);
    MemberSimulation simulation(count, *rc::gen::inRange<std::size_t>(1, 4));
    simulation.Run(std::chrono::seconds(3));
    const auto partitions =
      *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, count),
                      rc::gen::inRange<std::size_t>(0, count)));
    for (const auto& [from, to] : partitions) {
      simulation.links_.partitioned_.insert(
        { simulation.IdOf(from), simulation.IdOf(to) });
    }
    const auto killed = *rc::gen::inRange<std::size_t>(0, count + 1);
    if (killed < count) {
      simulation.Kill(killed);
    }
    simulation.Run(std::chrono::seconds(*rc::gen::inRange(1, 25)));
    simulation.links_.partitioned_.clear();
    simulation.Run(std::chrono::seconds(60));
    for (std::size_t index = 0; index < count; ++index) {
      RC_ASSERT(simulation.AllReport(
        index, index == killed ? MemberState::Dead : MemberState::Live));
    }
  }));
}

// Guards against outdated events that override newer ones: a leaving member may
// only become live again with a higher incarnation of its own.
Test(Member, IgnoresOutdatedEvents)
{
  cr_assert(rc::check([] {
    MemberTable table(MemberSimulation::IdentityOf(0, 1));
    MonotonicTime now;
    std::pair<std::uint64_t, int> known{ 0, 0 };
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
      MemberEvent event;
      event.identity_ = MemberSimulation::IdentityOf(1, 1);
      event.identity_.incarnation_ =
        Incarnation(*rc::gen::inRange<std::uint64_t>(1, 4));
      event.state_ = *rc::gen::element(MemberState::Live,
                                       MemberState::Suspect,
                                       MemberState::Leaving,
                                       MemberState::Dead);
      table.Apply(event, now);
      if (*rc::gen::arbitrary<bool>()) {
        table.SuspectNeighbour(event.identity_.instance_, now);
        table.Expire(now);
      }
      for (const Member& member : table.List().members_) {
        if (member.identity_.instance_ == event.identity_.instance_) {
          const std::pair<std::uint64_t, int> found{
            member.identity_.incarnation_.Value(), PrecedenceOf(member.state_)
          };
          RC_ASSERT(found >= known);
          known = found;
        }
      }
    }
  }));
}

// Guards against incorrect events about this instance that it does not refute.
Test(Member, RefutesFalseClaimsWithAHigherIncarnation)
{
  MemberTable table(MemberSimulation::IdentityOf(0, 1));
  MemberEvent claim{ table.Self(), MemberState::Dead };
  claim.identity_.incarnation_ =
    Incarnation(table.Self().incarnation_.Value() + 5);
  cr_assert(table.Apply(claim, MonotonicTime()));
  cr_assert_gt(table.Self().incarnation_, claim.identity_.incarnation_);
  table.Leave();
  claim.identity_.incarnation_ = table.Self().incarnation_;
  cr_assert(table.Apply(claim, MonotonicTime()));
  cr_assert_eq(table.TakeEvents(1).front().state_, MemberState::Leaving);
}

// Guards against a member whose failure no other member would detect.
Test(Member, EveryMemberIsMonitored)
{
  cr_assert(rc::check([] {
    MemberList list = ListOf(*rc::gen::inRange<std::size_t>(2, 60),
                             *rc::gen::inRange<std::size_t>(1, 6));
    std::set<InstanceId> watched;
    for (const Member& member : list.members_) {
      list.self_ = member.identity_.instance_;
      const auto neighbours = ChooseNeighbours(list);
      RC_ASSERT(neighbours.size() <= 2 * kNeighboursPerGroup);
      for (const InstanceId& neighbour : neighbours) {
        RC_ASSERT(neighbour != list.self_);
        watched.insert(neighbour);
      }
    }
    RC_ASSERT(watched.size() == list.members_.size());
  }));
}

// Guards against events that do not reach all members, and against the late
// detection of a failed member, whose duties would end late.
Test(Member, EventsReachAllMembers)
{
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(10, 40);
    MemberSimulation simulation(count, *rc::gen::inRange<std::size_t>(1, 5));
    simulation.Run(std::chrono::seconds(5));
    const auto leaving = *rc::gen::inRange<std::size_t>(0, count);
    simulation.nodes_[leaving].task_->Leave();
    simulation.Run(std::chrono::milliseconds(1500));
    RC_ASSERT(simulation.AllReport(leaving, MemberState::Leaving));
    const auto killed = (leaving + 1) % count;
    simulation.Kill(killed);
    simulation.Run(std::chrono::seconds(9));
    RC_ASSERT(simulation.AllReport(killed, MemberState::Dead));
  }));
}

// Guards against an instance that declares others dead after it was suspended
// itself: a suspicion from before the suspension could not be refuted.
Test(Member, RestartsSuspicionsAfterASuspension)
{
  MemberSimulation simulation(2, 1);
  simulation.Run(std::chrono::seconds(3));
  const InstanceId one = simulation.IdOf(0);
  const InstanceId other = simulation.IdOf(1);
  simulation.links_.partitioned_ = { { one, other }, { other, one } };
  for (int round = 0;
       round < 40 && simulation.StateOf(1, 0) == MemberState::Live;
       ++round) {
    simulation.Run(std::chrono::milliseconds(250));
  }
  cr_assert_eq(simulation.StateOf(1, 0), MemberState::Suspect);
  simulation.links_.partitioned_.clear();
  // No timer fires during the jump, as in a suspended process.
  simulation.clock_.Advance(std::chrono::seconds(60));
  for (int round = 0; round < 40; ++round) {
    simulation.Run(std::chrono::milliseconds(250));
    cr_assert_neq(simulation.StateOf(1, 0), MemberState::Dead);
  }
  cr_assert_eq(simulation.StateOf(1, 0), MemberState::Live);
}

// Guards against heartbeat traffic per instance that grows with the number of
// instances.
Test(Member, CostPerInstanceIsIndependentOfTheirNumber)
{
  double smallest = 0;
  double largest = 0;
  for (const std::size_t count : { 50, 100, 200, 400 }) {
    MemberSimulation simulation(count, 16);
    simulation.Run(std::chrono::seconds(20));
    simulation.links_.isCounting_ = true;
    simulation.Run(std::chrono::seconds(10));
    const double perSecond = 10.0 * double(count);
    largest = double(simulation.links_.bytes_) / perSecond;
    smallest = count == 50 ? largest : smallest;
    std::printf("%zu members: %.1f messages/s and %.0f bytes/s sent by each\n",
                count,
                double(simulation.links_.messages_) / perSecond,
                largest);
    cr_assert(simulation.AllReport(0, MemberState::Live));
  }
  cr_assert_lt(largest, 1.1 * smallest);
  // Sent and received bytes together stay within the budget of 9 KB/s.
  cr_assert_lt(2 * largest, 9000);
}
