// Backend servers that say in their answers that they leave, on the platform
// with real processes. Guards against requests that are sent to such a server
// because the list does not tell that it leaves.

#include "support/PlatformFixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace sycamoreward;

namespace {

constexpr double kStartTimeoutSeconds = 15;
constexpr double kSendSeconds = 1.5;
constexpr int kPerSecond = 40;
// Time until the other instance knows it. The platform allows two seconds.
constexpr Duration kTellTime = std::chrono::milliseconds(600);

// Sends requests through both instances and returns their answers.
std::vector<std::shared_ptr<CallerRun>>
SendRequests(PlatformFixture& aWorld,
             const char* aPath,
             const std::string& aName)
{
  std::vector<std::shared_ptr<CallerRun>> runs;
  for (int index = 0; index < int(kSendSeconds * kPerSecond); ++index) {
    runs.push_back(aWorld.Ask(std::size_t(index % 2),
                              aPath,
                              aName + std::to_string(index),
                              PlatformFixture::kKey));
    aWorld.RunFor(1.0 / kPerSecond);
  }
  return runs;
}

std::size_t
ArrivalsAfter(const standin::BackendStandIn& aServer, MonotonicTime aTime)
{
  return std::size_t(
    std::count_if(aServer.arrivals_.begin(),
                  aServer.arrivals_.end(),
                  [&](MonotonicTime aArrival) { return aArrival > aTime; }));
}

// While the store is down, the first server answers with aFault and says that
// it leaves, with aValue. Expects it to get requests afterwards or not.
void
CheckLeaving(standin::BackendFault aFault,
             const char* aPath,
             bool aIsEngine,
             const std::string& aValue,
             bool aStops)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  standin::BackendStandIn& server =
    aIsEngine ? *world.engines_.front() : *world.desks_.front();
  SendRequests(world, aPath, "before-");
  cr_assert_gt(server.arrivals_.size(), 0);
  world.store_.faults_.isBusy_ = true;
  server.fault_ = aFault;
  server.leaving_ = aValue;
  const std::size_t before = server.arrivals_.size();
  std::vector<std::shared_ptr<CallerRun>> runs;
  for (int sent = 0; sent < 100 && server.arrivals_.size() <= before; ++sent) {
    runs.push_back(world.Ask(
      0, aPath, "first-" + std::to_string(sent), PlatformFixture::kKey));
    world.RunFor(0.02);
  }
  cr_assert_gt(server.arrivals_.size(), before);
  const MonotonicTime told = server.arrivals_.back() + kTellTime;
  SendRequests(world, aPath, "after-");
  if (aStops) {
    cr_expect_eq(ArrivalsAfter(server, told), 0);
  } else {
    cr_expect_gt(ArrivalsAfter(server, told), 0);
  }
  // The store is back, and its list does not tell that the server leaves.
  world.store_.faults_.isBusy_ = false;
  SendRequests(world, aPath, "back-");
  if (aStops) {
    cr_expect_eq(ArrivalsAfter(server, told), 0);
  }
}

} // namespace

Test(ServerLeaving, AStreamTellsIt)
{
  CheckLeaving(
    standin::BackendFault::None, PlatformFixture::kStream, true, "1", true);
}

Test(ServerLeaving, APlainAnswerTellsIt)
{
  CheckLeaving(
    standin::BackendFault::None, PlatformFixture::kOnce, false, "1", true);
}

Test(ServerLeaving, ARefusalTellsIt)
{
  CheckLeaving(
    standin::BackendFault::NotRun, PlatformFixture::kOnce, false, "1", true);
}

Test(ServerLeaving, AnErrorTellsIt)
{
  CheckLeaving(standin::BackendFault::Error,
               PlatformFixture::kRepeatable,
               false,
               "1",
               true);
}

// Other values tell nothing.
Test(ServerLeaving, AnotherValueTellsNothing)
{
  CheckLeaving(
    standin::BackendFault::None, PlatformFixture::kOnce, false, "0", false);
}
