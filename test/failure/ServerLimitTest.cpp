// Backend servers that name the rate of requests that they take, on the
// platform with real processes.

#include "support/PlatformFixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace sycamoreward;

namespace {

constexpr double kStartTimeoutSeconds = 15;
// The platform allows one and a half times the limit and five requests in any
// window of this length.
constexpr double kWindowSeconds = 4;
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
// Time after the first naming from which the limit has to be kept.
constexpr double kContactSeconds = 3;

// Sends aPerSecond requests a second through both instances for aSeconds.
std::vector<std::shared_ptr<CallerRun>>
SendRequests(PlatformFixture& aWorld,
             const char* aPath,
             const std::string& aName,
             int aPerSecond,
             double aSeconds)
{
  std::vector<std::shared_ptr<CallerRun>> runs;
  for (int index = 0; index < int(aSeconds * aPerSecond); ++index) {
    runs.push_back(aWorld.Ask(std::size_t(index % 2),
                              aPath,
                              aName + std::to_string(index),
                              PlatformFixture::kKey));
    aWorld.RunFor(1.0 / aPerSecond);
  }
  return runs;
}

// Returns the most arrivals within one window that begins after aStart.
std::size_t
MostInWindow(const std::vector<MonotonicTime>& aArrivals, MonotonicTime aStart)
{
  std::size_t most = 0;
  for (auto first = aArrivals.begin(); first != aArrivals.end(); ++first) {
    if (*first < aStart) {
      continue;
    }
    const auto end =
      std::find_if(first, aArrivals.end(), [&](MonotonicTime aTime) {
        return std::chrono::duration<double>(aTime - *first).count() >
               kWindowSeconds;
      });
    most = std::max(most, std::size_t(end - first));
  }
  return most;
}

} // namespace

// Guards against servers in need that get as many requests as before.
Test(ServerLimit, AServerGetsNoMoreRequestsThanItNames)
{
  PlatformFixtureOptions options;
  options.engines_ = 3;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  SendRequests(world, PlatformFixture::kResumable, "a", 30, 1);
  // The one that is preferred, for example because it is near.
  auto& limited = **std::max_element(world.engines_.begin(),
                                     world.engines_.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft->arrivals_.size() <
                                              aRight->arrivals_.size();
                                     });
  limited.limit_ = "1.0";
  const MonotonicTime named = world.clock_.Now();
  const auto runs =
    SendRequests(world, PlatformFixture::kResumable, "b", 30, 9);
  const auto start =
    named + std::chrono::milliseconds(int(kContactSeconds * 1000));
  const std::size_t most = MostInWindow(limited.arrivals_, start);
  cr_expect_leq(double(most), kAllowedFactor * kWindowSeconds + kAllowedExtra);
  // It still takes some requests, and the others all the rest.
  cr_expect_geq(most, 2);
  for (const auto& run : runs) {
    cr_expect_eq(run->status_, 200, "%s", run->request_.c_str());
  }
}

// Guards against a server that is passed by after it has recovered.
Test(ServerLimit, AnAnswerWithoutALimitLiftsIt)
{
  PlatformFixtureOptions options;
  options.engines_ = 1;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.engines_[0]->limit_ = "0.5";
  SendRequests(world, PlatformFixture::kResumable, "a", 20, 1);
  world.engines_[0]->limit_.clear();
  SendRequests(world, PlatformFixture::kResumable, "b", 20, 5);
  const auto runs =
    SendRequests(world, PlatformFixture::kResumable, "c", 20, 1);
  const auto served =
    std::count_if(runs.begin(), runs.end(), [](const auto& aRun) {
      return aRun->status_ == 200;
    });
  cr_expect_eq(std::size_t(served), runs.size());
}

// Guards against requests that wait for servers which can't take them.
Test(ServerLimit, RequestsBeyondTheLimitsOfAllServersAreRefusedAtOnce)
{
  PlatformFixtureOptions options;
  options.desks_ = 2;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  for (const auto& desk : world.desks_) {
    desk->limit_ = "0.5";
  }
  SendRequests(world, PlatformFixture::kOnce, "a", 20, 1);
  const auto runs = SendRequests(world, PlatformFixture::kOnce, "b", 20, 2);
  world.RunFor(0.2);
  int refused = 0;
  for (const auto& run : runs) {
    cr_expect(run->isDone_, "%s", run->request_.c_str());
    if (run->status_ == 503) {
      ++refused;
      cr_expect_neq(run->body_.find("\"not_run\""), std::string::npos);
      cr_expect_gt(std::stod(run->retryAfter_), 0);
    }
  }
  cr_expect_geq(refused, int(runs.size()) - 8);
}
