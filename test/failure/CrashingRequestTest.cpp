// Requests that crash each server which runs them, on the platform with real
// processes.

#include "support/PlatformFixture.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace sycamoreward;

namespace {

constexpr double kStartTimeoutSeconds = 15;
// Time by which all instances have to know of the crashes, and the requests
// that the platform allows after it.
constexpr Duration kContactTime = std::chrono::milliseconds(3000);
constexpr std::size_t kAllowedAfterwards = 3;
constexpr double kPauseSeconds = 0.05;

// Requests that servers ran by the time at which the crash with this number,
// counted from 1, was kContactTime ago.
class RunsAfterCrash
{
public:
  RunsAfterCrash(const PlatformFixture& aWorld, std::size_t aCrash)
    : world_(aWorld)
    , crash_(aCrash)
  {
  }

  // To be called often.
  void Update()
  {
    const auto crashes = world_.Crashes();
    const bool isDue =
      crashes.size() >= crash_ &&
      world_.clock_.Now() - crashes[crash_ - 1] >= kContactTime;
    if (!isDue) {
      before_ = world_.CountRuns("crashing");
    }
  }

  std::size_t Count() const { return world_.CountRuns("crashing") - before_; }

private:
  const PlatformFixture& world_;
  std::size_t crash_;
  std::size_t before_ = 0;
};

} // namespace

// Guards against a prompt part that crashes one engine after the other.
Test(CrashingRequest, APromptPartThatCrashedFiveEnginesIsRefused)
{
  PlatformFixtureOptions options;
  options.engines_ = 6;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.CrashServersOn("dead1", "");
  RunsAfterCrash runs(world, 5);
  std::vector<std::shared_ptr<CallerRun>> crashing;
  std::vector<std::shared_ptr<CallerRun>> sound;
  for (int index = 0; index < 240; ++index) {
    const std::string id = std::to_string(index);
    const auto edge = std::size_t(index % 2);
    world.parts_ = "5a:10,50b:6,a" + id + ":4";
    sound.push_back(
      world.Ask(edge, PlatformFixture::kResumable, "sound-" + id));
    if (index % 3 == 0) {
      world.parts_ = "5a:10,dead1:6,b" + id + ":4";
      crashing.push_back(
        world.Ask(edge, PlatformFixture::kResumable, "crashing-" + id));
    }
    world.RunFor(kPauseSeconds);
    runs.Update();
  }
  world.RunFor(1);
  cr_expect_leq(runs.Count(), kAllowedAfterwards, "%zu", runs.Count());
  for (std::size_t index = crashing.size() - 20; index < crashing.size();
       ++index) {
    cr_expect_eq(crashing[index]->status_, 503);
    cr_expect_neq(crashing[index]->body_.find("not_run"), std::string::npos);
    cr_expect_gt(std::atof(crashing[index]->retryAfter_.c_str()), 1);
  }
  // Sound requests share the caller and the first part.
  for (std::size_t index = sound.size() - 60; index < sound.size(); ++index) {
    cr_expect_eq(sound[index]->status_, 200, "%s", sound[index]->body_.c_str());
  }
}

// Guards against a request that comes again and crashes one server after the
// other.
Test(CrashingRequest, ARequestThatCrashedThreeServersIsRefused)
{
  PlatformFixtureOptions options;
  options.desks_ = 3;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.CrashServersOn("", "a sheet that crashes desks");
  RunsAfterCrash runs(world, 3);
  std::vector<std::shared_ptr<CallerRun>> crashing;
  std::vector<std::shared_ptr<CallerRun>> sound;
  for (int index = 0; index < 240; ++index) {
    const std::string id = std::to_string(index);
    const auto edge = std::size_t(index % 2);
    world.body_ = "";
    sound.push_back(world.Ask(edge,
                              index % 4 == 0 ? PlatformFixture::kOnce
                                             : PlatformFixture::kRepeatable,
                              "sound-" + id));
    if (index % 8 == 0) {
      world.body_ = "a sheet that crashes desks";
      crashing.push_back(
        world.Ask(edge, PlatformFixture::kRepeatable, "crashing-" + id));
    }
    world.RunFor(kPauseSeconds);
    runs.Update();
  }
  world.RunFor(1);
  cr_expect_leq(runs.Count(), kAllowedAfterwards, "%zu", runs.Count());
  for (std::size_t index = crashing.size() - 8; index < crashing.size();
       ++index) {
    cr_expect_eq(crashing[index]->status_, 503);
    cr_expect_neq(crashing[index]->body_.find("not_run"), std::string::npos);
    cr_expect_gt(std::atof(crashing[index]->retryAfter_.c_str()), 1);
  }
  for (std::size_t index = sound.size() - 60; index < sound.size(); ++index) {
    cr_expect_eq(sound[index]->status_, 200, "%s", sound[index]->body_.c_str());
  }
}
