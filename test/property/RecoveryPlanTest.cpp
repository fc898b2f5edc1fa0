// Guards against handovers to instances that are going away themselves, and
// against plans that spend the time before a reclaim on the wrong requests.

#include "recovery/DrainPlan.h"
#include "recovery/ExportPlan.h"
#include "recovery/Handover.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace sycamoreward;

namespace {

MemberList
AnyMembers()
{
  MemberList members;
  members.self_ = InstanceId("self");
  const auto count = *rc::gen::inRange(0, 8);
  for (int index = 0; index <= count; ++index) {
    Member member;
    member.identity_.instance_ =
      InstanceId(index == 0 ? "self" : "peer-" + std::to_string(index));
    member.identity_.failureDomain_ = FailureDomainId(
      index == 0 ? "d0" : *rc::gen::element<std::string>("d0", "d1", "d2"));
    member.state_ = *rc::gen::element(MemberState::Live,
                                      MemberState::Suspect,
                                      MemberState::Leaving,
                                      MemberState::Dead);
    members.members_.push_back(member);
  }
  return members;
}

std::vector<HandoverCandidate>
AnyRequests()
{
  std::vector<HandoverCandidate> requests;
  const auto count = *rc::gen::inRange(0, 20);
  for (int index = 0; index < count; ++index) {
    HandoverCandidate candidate;
    candidate.request_ = RequestId("r" + std::to_string(index));
    candidate.computed_ = Tokens(*rc::gen::inRange<std::uint64_t>(0, 5000));
    candidate.size_ = Bytes(*rc::gen::inRange<std::uint64_t>(1, 100000));
    candidate.isSentUnrepeatable_ = *rc::gen::inRange(0, 5) == 0;
    candidate.expectedEnd_ =
      std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    requests.push_back(candidate);
  }
  return requests;
}

double
Value(const HandoverCandidate& aCandidate)
{
  return double(aCandidate.computed_.Value()) /
         double(aCandidate.size_.Value());
}

} // namespace

Test(Handover, PlansUseLiveSuccessorsInOrderOfValue)
{
  const bool isGood = rc::check([] {
    HandoverInput input;
    input.members_ = AnyMembers();
    input.requests_ = AnyRequests();
    input.remaining_ = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    input.bytesPerSecond_ = Bytes(100000);
    std::map<InstanceId, Member> byId;
    bool hasOther = false;
    for (const Member& member : input.members_.members_) {
      byId[member.identity_.instance_] = member;
      hasOther = hasOther || (member.state_ == MemberState::Live &&
                              member.identity_.failureDomain_.Value() != "d0");
    }
    std::map<RequestId, HandoverCandidate> requests;
    for (const auto& candidate : input.requests_) {
      requests[candidate.request_] = candidate;
    }
    const HandoverPlan plan = PlanHandover(input);
    // Each request appears exactly once in the plan.
    std::set<RequestId> seen;
    for (const auto& step : plan.steps_) {
      RC_ASSERT(seen.insert(step.request_).second);
    }
    for (const auto& id : plan.finishing_) {
      RC_ASSERT(seen.insert(id).second);
    }
    for (const auto& id : plan.lost_) {
      RC_ASSERT(seen.insert(id).second);
    }
    RC_ASSERT(seen.size() == requests.size());
    const HandoverCandidate* previous = nullptr;
    for (const auto& step : plan.steps_) {
      const Member& successor = byId.at(step.successor_);
      RC_ASSERT(step.successor_ != input.members_.self_);
      RC_ASSERT(successor.state_ == MemberState::Live);
      const bool isElsewhere =
        successor.identity_.failureDomain_.Value() != "d0";
      RC_ASSERT(isElsewhere == hasOther);
      RC_ASSERT(step.delay_ <= input.remaining_);
      const HandoverCandidate& candidate = requests.at(step.request_);
      if (!candidate.isSentUnrepeatable_) {
        const bool isInOrder =
          previous == nullptr || Value(*previous) >= Value(candidate);
        RC_ASSERT(isInOrder);
        previous = &candidate;
      }
    }
  });
  cr_assert(isGood);
}

Test(ExportPlan, ExportsFitTimeAndSaveCost)
{
  const bool isGood = rc::check([] {
    ExportInput input;
    input.remaining_ = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    input.bytesPerSecond_ = Bytes(1000);
    input.pricePerByte_ = 1;
    input.pricePerToken_ = *rc::gen::inRange(0, 4);
    const auto count = *rc::gen::inRange(0, 12);
    for (int index = 0; index < count; ++index) {
      input.candidates_.push_back(
        { RequestId(std::to_string(index)),
          Tokens(*rc::gen::inRange<std::uint64_t>(0, 500)),
          Bytes(*rc::gen::inRange<std::uint64_t>(1, 1000)) });
    }
    const ExportPlan plan = PlanExport(input);
    RC_ASSERT(plan.export_.size() + plan.recompute_.size() ==
              input.candidates_.size());
    std::uint64_t bytes = 0;
    for (const RequestId& id : plan.export_) {
      const auto& candidate = input.candidates_[std::stoul(id.Value())];
      bytes += candidate.size_.Value();
      RC_ASSERT(double(candidate.tokens_.Value()) * input.pricePerToken_ >=
                double(candidate.size_.Value()));
    }
    RC_ASSERT(bytes * 1000000 <=
              std::uint64_t(input.remaining_.count()) * 1000);
  });
  cr_assert(isGood);
}

// A drain must not end while requests are running or outcomes are pending, and
// only a reclaim hands requests over.
Test(DrainPlan, WaitsForRequestsAndOutcomes)
{
  DrainState state;
  cr_assert(NextDrainStep(state) == DrainStep::Serve);
  state.isLeaving_ = true;
  state.runningRequests_ = 1;
  cr_assert(NextDrainStep(state) == DrainStep::Wait);
  state.remaining_ = std::chrono::seconds(5);
  cr_assert(NextDrainStep(state) == DrainStep::HandOver);
  state.hasHandedOver_ = true;
  cr_assert(NextDrainStep(state) == DrainStep::Wait);
  state.runningRequests_ = 0;
  state.pendingOutcomes_ = 1;
  cr_assert(NextDrainStep(state) == DrainStep::Wait);
  state.pendingOutcomes_ = 0;
  cr_assert(NextDrainStep(state) == DrainStep::Exit);
}
