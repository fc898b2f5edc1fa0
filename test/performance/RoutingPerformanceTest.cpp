// Checks the 99th percentile latency of short work against the bounds of the
// design, in a simulation on a virtual clock. The baseline policies run in the
// same test for comparison.

#include "performance/RoutingSimulation.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace sycamoreward;
using simulation::Policy;
using simulation::Setting;

namespace {

double
P99(Setting aSetting, Policy aPolicy)
{
  aSetting.policy_ = aPolicy;
  return simulation::Quantile(simulation::Simulation(aSetting).Run(), 0.99);
}

} // namespace

// Guards against short work that waits behind long work that saturates the
// pool.
Test(RoutingPerformance, ShortWorkWhileLongWorkSaturatesThePool)
{
  for (const std::size_t instances : { 1U, 6U }) {
    Setting none;
    none.instances_ = instances;
    Setting saturated = none;
    // 20 servers with 16 slots complete about 9.5 long requests per second.
    saturated.longPerSecond_ = 15;
    const double healthy = P99(none, Policy::Sycamoreward);
    const double ratio = P99(saturated, Policy::Sycamoreward) / healthy;
    std::printf("short p99 with long work, %zu instances: healthy %.0f ms, "
                "ratio %.2f (bound 1.2), least outstanding %.2f\n",
                instances,
                healthy,
                ratio,
                P99(saturated, Policy::LeastOutstanding) / healthy);
    cr_expect_leq(ratio, 1.2);
  }
}

// Guards against long work that delays short work when it exceeds its estimate
// by up to 10 times, and against aged long work that takes the slots of short
// work.
Test(RoutingPerformance, ShortWorkWhileLongWorkHasHeavyTails)
{
  for (const std::size_t instances : { 1U, 6U }) {
    Setting none;
    none.instances_ = instances;
    Setting saturated = none;
    saturated.longPerSecond_ = 15;
    saturated.longSpread_ = 1;
    const double healthy = P99(none, Policy::Sycamoreward);
    const double ratio = P99(saturated, Policy::Sycamoreward) / healthy;
    std::printf("short p99 with heavy-tailed long work, %zu instances: healthy "
                "%.0f ms, ratio %.2f (bound 1.2), least outstanding %.2f\n",
                instances,
                healthy,
                ratio,
                P99(saturated, Policy::LeastOutstanding) / healthy);
    cr_expect_leq(ratio, 1.2);
  }
}

// Guards against slow servers with late reports that determine the 99th
// percentile.
Test(RoutingPerformance, ThreeOfTwentyServersTenTimesSlower)
{
  for (const std::size_t instances : { 1U, 6U }) {
    Setting none;
    none.instances_ = instances;
    Setting slow = none;
    slow.slowServers_ = 3;
    const double healthy = P99(none, Policy::Sycamoreward);
    const double ratio = P99(slow, Policy::Sycamoreward) / healthy;
    std::printf("p99 with 3 of 20 slow, %zu instances: healthy %.0f ms, ratio "
                "%.2f (bound 1.3), least reported %.2f, round robin %.2f\n",
                instances,
                healthy,
                ratio,
                P99(slow, Policy::LeastReported) / healthy,
                P99(slow, Policy::RoundRobin) / healthy);
    cr_expect_leq(ratio, 1.3);
  }
}
