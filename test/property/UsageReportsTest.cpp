// Usage reports of 3 to 60 instances while the store returns from older copies,
// in any order with restarts and losses of instances.

#include "support/DutyFleet.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <string>

using namespace sycamoreward;

namespace {

// Seed of the first play; USAGE_SEED selects another one.
std::uint64_t
FirstSeed()
{
  const char* seed = std::getenv("USAGE_SEED");
  return seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
}

void
ExpectReportedOnce(const DutyScenario& aScenario, std::uint64_t aPlays)
{
  std::size_t due = 0;
  std::size_t reported = 0;
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + aPlays; ++seed) {
    const DutyOutcome outcome = PlayDuties(aScenario, seed);
    due += outcome.due_;
    reported += outcome.reported_;
    for (const std::string& violation : outcome.violations_) {
      cr_expect(false,
                "%s: %zu instances, seed %zu",
                violation.c_str(),
                aScenario.instances_,
                std::size_t(seed));
    }
  }
  // Guards against a fleet that reports nothing.
  cr_expect_gt(2 * reported, due, "%zu of %zu windows", reported, due);
}

} // namespace

// Guards against a new holder that reports a window which a lost one has
// reported, since it asked for the lease for the first time after the return.
Test(UsageReports, AWindowIsReportedOnceByFewInstances)
{
  for (const std::size_t instances : { 3, 6, 9 }) {
    DutyScenario scenario;
    scenario.instances_ = instances;
    ExpectReportedOnce(scenario, 30);
  }
}

// The same with collectors, where most instances never call the store.
Test(UsageReports, AWindowIsReportedOnceByManyInstances)
{
  for (const std::size_t instances : { 14, 60 }) {
    DutyScenario scenario;
    scenario.instances_ = instances;
    ExpectReportedOnce(scenario, instances > 20 ? 2 : 8);
  }
}

// Every window is reported while no instance and no row is lost.
Test(UsageReports, AllWindowsAreReportedInCalm)
{
  DutyScenario scenario;
  scenario.instances_ = 6;
  scenario.returns_ = 0;
  scenario.restarts_ = 0;
  scenario.losses_ = 0;
  const DutyOutcome outcome = PlayDuties(scenario, FirstSeed());
  cr_expect(outcome.violations_.empty());
  cr_expect_eq(outcome.reported_, outcome.due_);
  cr_expect_gt(outcome.due_, 5);
}
