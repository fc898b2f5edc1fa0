// Request rates that servers name, shared by 3 to 400 entry instances.

#include "support/LimitFleet.h"

#include <criterion/criterion.h>

#include <string>

using namespace sycamoreward;

namespace {

// What the platform allows in a window of 4 s.
double
Allowed(double aRate)
{
  return 1.5 * kLimitWindowSeconds * aRate + 5;
}

void
ExpectWithinLimits(const LimitScenario& aScenario, std::uint64_t aSeed)
{
  const LimitOutcome outcome = PlayLimits(aScenario, aSeed);
  for (std::size_t server = 0; server < aScenario.rates_.size(); ++server) {
    cr_expect_leq(
      outcome.mostInWindow_[server],
      Allowed(aScenario.rates_[server]),
      "%g in a window: %zu instances, engines %d, rate %g, seed %zu",
      outcome.mostInWindow_[server],
      aScenario.instances_,
      int(aScenario.isEngine_),
      aScenario.rates_[server],
      std::size_t(aSeed));
  }
}

// Two of six servers are limited.
LimitScenario
PartlyLimited(std::size_t aInstances, bool aIsEngine, double aRate)
{
  LimitScenario scenario;
  scenario.instances_ = aInstances;
  scenario.isEngine_ = aIsEngine;
  scenario.rates_ = { aRate, aRate * 1.3 };
  scenario.demand_ = 60 + 20 * aRate;
  return scenario;
}

// A tenth of the instances, at least one.
std::vector<std::size_t>
Tenth(std::size_t aInstances)
{
  std::vector<std::size_t> chosen;
  for (std::size_t index = 1; index < aInstances; index += 10) {
    chosen.push_back(index);
  }
  return chosen;
}

constexpr double kRates[] = { 0.5, 1, 1.3, 5, 20, 50 };

} // namespace

// Guards against instances that keep a limit each by itself.
Test(ServerLimitFleet, InstancesTogetherKeepTheLimits)
{
  for (const std::size_t instances : { 3, 10, 60 }) {
    for (const bool isEngine : { true, false }) {
      for (const double rate : kRates) {
        ExpectWithinLimits(PartlyLimited(instances, isEngine, rate), 1);
      }
    }
  }
}

Test(ServerLimitFleet, FourHundredInstancesKeepTheLimits)
{
  LimitScenario scenario = PartlyLimited(400, true, 1);
  scenario.servers_ = 40;
  scenario.demand_ = 400;
  ExpectWithinLimits(scenario, 1);
}

Test(ServerLimitFleet, RestartsKeepTheLimits)
{
  for (const std::size_t instances : { 3, 10, 60 }) {
    for (const double rate : kRates) {
      for (const std::uint64_t seed : { 1, 2, 3 }) {
        LimitScenario scenario = PartlyLimited(instances, seed != 2, rate);
        scenario.restarted_ = Tenth(instances);
        ExpectWithinLimits(scenario, seed);
      }
    }
  }
}

Test(ServerLimitFleet, PartitionsKeepTheLimits)
{
  for (const std::size_t instances : { 3, 10, 60 }) {
    for (const double rate : kRates) {
      for (const std::uint64_t seed : { 1, 2, 3 }) {
        LimitScenario scenario = PartlyLimited(instances, seed != 2, rate);
        scenario.partitioned_ = Tenth(instances);
        ExpectWithinLimits(scenario, seed);
      }
    }
  }
}

// Guards against shares of a limit that nobody uses.
Test(ServerLimitFleet, MostOfTheLimitIsUsedWhereDemandIsThere)
{
  for (const std::size_t instances : { 3, 10, 60 }) {
    for (const bool isEngine : { true, false }) {
      for (const double rate : kRates) {
        LimitScenario scenario = PartlyLimited(instances, isEngine, rate);
        // Only the limited servers are there, each asked for more than it
        // takes.
        scenario.servers_ = 2;
        scenario.seconds_ = 24;
        const LimitOutcome outcome = PlayLimits(scenario, 1);
        for (const double used : outcome.usedFraction_) {
          cr_expect_geq(used,
                        0.8,
                        "%g used: %zu instances, engines %d, rate %g",
                        used,
                        instances,
                        int(isEngine),
                        rate);
        }
      }
    }
  }
}
