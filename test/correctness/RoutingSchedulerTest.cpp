// Tests PoolScheduler with service stand-ins.

#include "routing/PoolScheduler.h"
#include "service/ServiceStandIn.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

class FixedList final : public ServerList
{
public:
  std::vector<Server> Servers() const override { return servers_; }
  void OnChange(std::function<void()> aObserver) override
  {
    observer_ = std::move(aObserver);
  }
  void ReportLeaving(const ServerId& aServer) override
  {
    reported_.push_back(aServer);
  }

  std::vector<Server> servers_;
  std::vector<ServerId> reported_;
  std::function<void()> observer_;
};

struct Fixture
{
  explicit Fixture(std::size_t aServers)
  {
    for (std::size_t number = 0; number < aServers; ++number) {
      standIns_.push_back(std::make_unique<standin::ServiceStandIn>(
        loop_, standin::ServiceOptions{}, Address{ "127.0.0.1", 0 }));
      Server server;
      server.id_ = ServerId("s" + std::to_string(number));
      server.pool_ = PoolName("pool");
      server.address_ = standIns_.back()->BoundAddress();
      list_.servers_.push_back(server);
    }
    service_.metadata_.name_ = "service";
    service_.pool_ = PoolName("pool");
    RoutingPolicy policy;
    policy.service_ = ServiceName("service");
    policy.slotsPerServer_ = 4;
    policy.maxQueue_ = 6;
    config_->routingPolicies_["policy"] = policy;
    scheduler_ =
      std::make_unique<PoolScheduler>(loop_, client_, list_, random_);
  }

  void WaitForReports()
  {
    cr_assert(loop_.RunUntil(
      [&] {
        for (const ServerView& view : scheduler_->Views(service_.pool_)) {
          if (!view.report_) {
            return false;
          }
        }
        return true;
      },
      kTimeout));
  }

  Scheduler::Ticket Submit(const std::string& aWorkspace = "w")
  {
    RequestTraits traits;
    traits.workspace_ = WorkspaceId(aWorkspace);
    grants_.emplace_back();
    const std::size_t index = grants_.size() - 1;
    return scheduler_->Submit(
      config_,
      service_,
      traits,
      std::chrono::seconds(60),
      [this, index](Grant aGrant) { grants_[index] = std::move(aGrant); });
  }

  std::size_t Granted() const
  {
    return std::size_t(
      std::count_if(grants_.begin(), grants_.end(), [](const auto& aGrant) {
        return aGrant && aGrant->server_;
      }));
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  FixedList list_;
  RandomSource random_{ 1 };
  std::vector<std::unique_ptr<standin::ServiceStandIn>> standIns_;
  Service service_;
  std::shared_ptr<Configuration> config_ = std::make_shared<Configuration>();
  std::vector<std::optional<Grant>> grants_;
  std::unique_ptr<PoolScheduler> scheduler_;
};

} // namespace

Test(RoutingScheduler, SlotsAreLimitedAndFreedByEnd)
{
  Fixture fixture(1);
  fixture.WaitForReports();
  const Scheduler::Ticket first = fixture.Submit();
  for (int count = 0; count < 5; ++count) {
    fixture.Submit();
  }
  cr_assert_eq(fixture.Granted(), 0, "granted before Submit returned");
  fixture.loop_.RunReady();
  cr_assert_eq(fixture.Granted(), 4);
  fixture.scheduler_->End(first, AttemptEnd::Completed);
  fixture.loop_.RunReady();
  cr_assert_eq(fixture.Granted(), 5);
  cr_assert_eq(fixture.scheduler_->QueueLength(fixture.service_.pool_), 1);
}

// Guards against a queue that grows without bound, and against requests that
// are neither granted nor refused.
Test(RoutingScheduler, FullQueueRefuses)
{
  Fixture fixture(1);
  fixture.WaitForReports();
  for (int count = 0; count < 4 + 20; ++count) {
    fixture.Submit();
    fixture.loop_.RunReady();
  }
  cr_assert_eq(fixture.Granted(), 4);
  cr_assert_eq(fixture.scheduler_->QueueLength(fixture.service_.pool_), 6);
  const auto refused = std::count_if(
    fixture.grants_.begin(), fixture.grants_.end(), [](const auto& aGrant) {
      return aGrant && aGrant->refusal_ == Refusal::Overloaded;
    });
  cr_assert_eq(refused, 14);
}

// Promise P5: a server gets no new work 3 s after it began to leave, even if
// the instance list does not show it and the polls fail.
Test(RoutingScheduler, UnreachableServerGetsNoNewWork)
{
  Fixture fixture(1);
  fixture.WaitForReports();
  fixture.standIns_[0]->Crash();
  for (int step = 0; step < 30; ++step) {
    fixture.clock_.Advance(std::chrono::milliseconds(100));
    fixture.loop_.RunReady();
  }
  fixture.Submit();
  fixture.loop_.RunReady();
  cr_assert_eq(fixture.Granted(), 0);
}

Test(RoutingScheduler, LeavingServerIsReportedOnceAndGetsNoNewWork)
{
  Fixture fixture(2);
  fixture.WaitForReports();
  fixture.standIns_[0]->SetFaults({ { "leaving", true } });
  fixture.clock_.Advance(std::chrono::seconds(1));
  cr_assert(fixture.loop_.RunUntil(
    [&] { return !fixture.list_.reported_.empty(); }, kTimeout));
  for (int count = 0; count < 4; ++count) {
    fixture.Submit();
  }
  fixture.loop_.RunReady();
  cr_assert_eq(fixture.Granted(), 4);
  for (const auto& grant : fixture.grants_) {
    cr_assert_eq(grant->server_->id_.Value(), "s1");
  }
  fixture.scheduler_->ServerRefused(ServerId("s0"), true);
  cr_assert_eq(fixture.list_.reported_.size(), 1);
}

Test(RoutingScheduler, CancelledRequestGetsNoGrant)
{
  Fixture fixture(1);
  fixture.WaitForReports();
  const Scheduler::Ticket ticket = fixture.Submit();
  fixture.scheduler_->Cancel(ticket);
  fixture.loop_.RunReady();
  cr_assert_not(fixture.grants_[0].has_value());
}

// A queued request must be refused at its deadline rather than remain queued.
Test(RoutingScheduler, WaitingRequestIsRefusedAtItsDeadline)
{
  Fixture fixture(1);
  fixture.WaitForReports();
  for (int count = 0; count < 5; ++count) {
    fixture.Submit();
  }
  fixture.loop_.RunReady();
  fixture.clock_.Advance(std::chrono::seconds(61));
  fixture.loop_.RunReady();
  fixture.loop_.RunReady();
  cr_assert(fixture.grants_[4].has_value());
  cr_assert_eq(fixture.grants_[4]->refusal_, Refusal::Overloaded);
}
