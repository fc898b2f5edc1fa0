// The quota of a workspace while instances are partitioned from each other and
// restart: what all of them together let run within any window.

#include "support/QuotaFleet.h"

#include <criterion/criterion.h>

#include <cstdlib>

using namespace sycamoreward;

namespace {

// Seed of the first scenario, from QUOTA_SEED.
std::uint64_t
FirstSeed()
{
  const char* text = std::getenv("QUOTA_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

void
ExpectWithinQuota(const QuotaScenario& aScenario, std::uint64_t aSeed)
{
  const QuotaOutcome outcome = PlayQuota(aScenario, aSeed);
  cr_expect_leq(outcome.mostInWindow_,
                outcome.allowed_,
                "seed %lu: %.0f of %.0f; %s",
                (unsigned long)aSeed,
                outcome.mostInWindow_,
                outcome.allowed_,
                ToText(aScenario).c_str());
}

} // namespace

// Guards against an instance that grants a workspace its whole quota again,
// because it has restarted and can't read the list of the others.
Test(QuotaPartition, AnInstanceThatDoesNotKnowTheOthersGrantsNoSecondQuota)
{
  for (const double delay : { 0.0, 1.5, 5.0 }) {
    QuotaScenario scenario;
    scenario.rate_ = 274530;
    scenario.burst_ = 274530;
    scenario.demand_ = 3;
    scenario.demandStart_ = 3;
    scenario.restarts_ = { { 4, 5, 0.6, delay } };
    ExpectWithinQuota(scenario, 1);
  }
}

// Guards against two sides of a partition that both use the level which they
// had before they noticed it.
Test(QuotaPartition, BothSidesOfAPartitionStayWithinTheQuota)
{
  for (const double length : { 1.0, 2.0, 5.0, 9.0 }) {
    QuotaScenario scenario;
    scenario.rate_ = 200000;
    scenario.burst_ = 200000;
    scenario.demand_ = 7.5;
    scenario.demandStart_ = 2;
    scenario.cuts_ = { { 5, length, { 0, 3 }, true, true } };
    ExpectWithinQuota(scenario, 1);
  }
}

// Partitions in one or both directions and restarts at random, of instances
// that report to all others and of ones that report to collectors.
Test(QuotaPartition, RandomPartitionsAndRestartsStayWithinTheQuota)
{
  constexpr std::uint64_t kScenarios = 40;
  for (std::uint64_t seed = FirstSeed(); seed < FirstSeed() + kScenarios;
       ++seed) {
    std::mt19937_64 random(seed);
    const std::size_t instances = 2 + random() % 9;
    ExpectWithinQuota(DrawQuotaScenario(instances, random), seed);
  }
}

Test(QuotaPartition, RandomPartitionsOfManyInstancesStayWithinTheQuota)
{
  constexpr std::uint64_t kScenarios = 12;
  for (std::uint64_t seed = FirstSeed(); seed < FirstSeed() + kScenarios;
       ++seed) {
    std::mt19937_64 random(seed);
    const std::size_t instances = 12 + random() % 79;
    ExpectWithinQuota(DrawQuotaScenario(instances, random), seed);
  }
}

// What the bound costs a workspace that stays below its quota.
Test(QuotaPartition, AWorkspaceBelowItsQuotaIsRarelyRefused)
{
  for (const double demand : { 0.5, 0.8 }) {
    QuotaScenario scenario;
    scenario.rate_ = 200000;
    scenario.burst_ = 200000;
    scenario.demand_ = demand;
    const QuotaOutcome outcome = PlayQuota(scenario, 1);
    cr_expect_geq(outcome.run_, 0.99 * outcome.requested_, "%.1f", demand);
  }
}
