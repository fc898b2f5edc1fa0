// Compares the fraction of recomputed prompt tokens with random choice and with
// an oracle that knows the contents of each cache.

#include "performance/CacheSimulation.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace sycamoreward;
using simulation::CachePolicy;
using simulation::CacheSetting;

namespace {

double
RecomputedFraction(CacheSetting aSetting, CachePolicy aPolicy)
{
  aSetting.policy_ = aPolicy;
  const auto figures = simulation::RunCacheSimulation(aSetting);
  return double(figures.recomputed_) / double(figures.prompt_);
}

} // namespace

// Guards against prompts that are placed by load although some server's cache
// holds their prefix.
Test(CachePerformance, RecomputedTokensNearTheOracle)
{
  for (const std::size_t instances : { 1U, 6U }) {
    CacheSetting setting;
    setting.instances_ = instances;
    const double oracle = RecomputedFraction(setting, CachePolicy::Oracle);
    const double own = RecomputedFraction(setting, CachePolicy::Affinity);
    const double random = RecomputedFraction(setting, CachePolicy::Random);
    std::printf("recomputed tokens, %zu instances: %.2f%% of the prompts, "
                "oracle %.2f%%, ratio %.2f (bound 1.1), random %.2f%%\n",
                instances,
                100 * own,
                100 * oracle,
                own / oracle,
                100 * random);
    cr_expect_leq(own / oracle, 1.1);
  }
}
