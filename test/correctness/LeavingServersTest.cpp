// What an instance knows of servers that have said that they leave.

#include "edge/LeavingServers.h"
#include "RequestHeaders.h"
#include "edge/EdgeState.h"
#include "edge/ReportExchange.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

const ServiceName kService("s");
const ServerId kServer("engine");

std::map<ServerId, BackendServer>
Listed(std::uint64_t aIncarnation, bool aIsDraining = false)
{
  std::map<ServerId, BackendServer> servers;
  BackendServer& server = servers[kServer];
  server.id_ = kServer;
  server.incarnation_ = Incarnation(aIncarnation);
  server.service_ = kService;
  server.isDraining_ = aIsDraining;
  return servers;
}

// Instances that exchange reports on a paused clock.
class Instances
{
public:
  explicit Instances(std::size_t aCount)
  {
    clock_.Advance(std::chrono::hours(1));
    std::vector<PeerIdentity> members;
    for (std::size_t index = 0; index < aCount; ++index) {
      PeerIdentity self;
      self.instance_ = InstanceId("i" + std::to_string(index));
      self.incarnation_ = Incarnation(1);
      self.strength_ = 500 - index;
      members.push_back(self);
      auto state = std::make_unique<EdgeState>(
        loop_, WireCodec{}, SystemBounds{}, log_, metrics_, 1);
      state->self_ = self.instance_;
      ApplyServers(*state, Listed(1));
      networks_.push_back(std::make_unique<FakePeerNetwork>(hub_, self));
      reports_.push_back(
        std::make_unique<ReportExchange>(*state, *networks_.back(), self, [] {
          return SelfStatus{ true, false, {} };
        }));
      state->reportSoon_ = [reports = reports_.back().get()] {
        reports->ReportSoon();
      };
      states_.push_back(std::move(state));
    }
    for (const auto& reports : reports_) {
      reports->SetMembers(members);
    }
    Run(6);
  }

  void Run(double aSeconds)
  {
    for (double passed = 0; passed < aSeconds; passed += 0.01) {
      clock_.Advance(std::chrono::milliseconds(10));
      for (int round = 0; round < 3; ++round) {
        loop_.RunReady();
      }
    }
  }

  bool Uses(std::size_t aIndex)
  {
    const auto& servers = states_[aIndex]->pools_[kService].servers_;
    return !servers.at(kServer).server_.isDraining_;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  std::vector<std::unique_ptr<EdgeState>> states_;
  std::vector<std::unique_ptr<FakePeerNetwork>> networks_;
  std::vector<std::unique_ptr<ReportExchange>> reports_;
};

} // namespace

// Guards against a list, older or later, that takes back what the server said.
Test(LeavingServers, AListDoesNotTakeItBack)
{
  Instances one(1);
  EdgeState& state = *one.states_.front();
  RecordLeaving(state, kServer, Incarnation(1), "answer");
  cr_expect_not(one.Uses(0));
  ApplyServers(state, Listed(1));
  cr_expect_not(one.Uses(0));
  // A list that forgets the server and names it again.
  ApplyServers(state, {});
  ApplyServers(state, Listed(1));
  cr_expect_not(one.Uses(0));
}

Test(LeavingServers, ANewStartEndsIt)
{
  Instances one(1);
  EdgeState& state = *one.states_.front();
  RecordLeaving(state, kServer, Incarnation(1), "answer");
  ApplyServers(state, Listed(2));
  cr_expect(one.Uses(0));
  // A late answer of the former start.
  RecordLeaving(state, kServer, Incarnation(1), "answer");
  cr_expect(one.Uses(0));
}

Test(LeavingServers, TheOtherInstancesAreTold)
{
  for (const std::size_t count : { 3, 14, 60 }) {
    Instances all(count);
    RecordLeaving(*all.states_[count / 2], kServer, Incarnation(1), "answer");
    all.Run(count > kMaxMeshInstances ? 3 : 0.2);
    for (std::size_t index = 0; index < count; ++index) {
      cr_expect_not(all.Uses(index), "%zu of %zu", index, count);
    }
  }
}

// What the list tells to all is not told again.
Test(LeavingServers, AListedOneIsNotReported)
{
  Instances one(1);
  EdgeState& state = *one.states_.front();
  std::vector<LeavingServer> told;
  RecordLeaving(state, kServer, Incarnation(1), "answer");
  AddLeaving(state, told);
  cr_expect_eq(told.size(), 1);
  ApplyServers(state, Listed(1, true));
  told.clear();
  AddLeaving(state, told);
  cr_expect(told.empty());
}

Test(LeavingServers, OnlyTheKnownValueCounts)
{
  const auto decode = [](const std::vector<std::string>& aValues) {
    http::ResponseHead head;
    for (const std::string& value : aValues) {
      head.fields_.push_back({ "server-leaving", value });
    }
    return platform::RequestCodec().decodeAnswer_(head, MonotonicTime());
  };
  cr_expect(decode({ "1" }).isLeaving_);
  cr_expect_not(decode({ "1" }).hasMalformedLeaving_);
  cr_expect_not(decode({}).isLeaving_);
  for (const char* value : { "0", "", "true", "11", "1, 1", "-1" }) {
    cr_expect_not(decode({ value }).isLeaving_, "%s", value);
    cr_expect(decode({ value }).hasMalformedLeaving_, "%s", value);
  }
  cr_expect(decode({ "0", "1" }).isLeaving_);
}
