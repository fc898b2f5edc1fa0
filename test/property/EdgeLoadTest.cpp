// Simulates the load patterns that placement and admission are designed for,
// and compares them with a simpler policy on the same arrivals. Guards against
// changes that lose the advantage over the simpler policy.

#include "support/EngineQueueSimulation.h"

#include <criterion/criterion.h>

#include <cmath>
#include <cstdio>

using namespace sycamoreward;

namespace {

constexpr std::uint64_t kSeed = 20261204;

void
Print(const char* aName, const SimulationResult& aResult)
{
  std::printf("%-34s value %.3f on time %.3f refused %.3f p95 %.0f ms, "
              "%.1f million tokens read\n",
              aName,
              aResult.valueFraction_,
              aResult.onTimeFraction_,
              aResult.refusedFraction_,
              aResult.p95Ms_,
              aResult.readTokens_ / 1e6);
}

// A large system, in which reports travel through collectors and arrive once a
// second.
SimulationOptions
ManyInstances()
{
  SimulationOptions options;
  options.instances_ = 80;
  options.engines_ = 90;
  options.reportInterval_ = std::chrono::seconds(1);
  return options;
}

} // namespace

Test(EdgeLoad, TokenAndCacheAwarePlacementBeatsFewestRunning)
{
  const auto arrivals = OfficeArrivals(60, 1, 1, kSeed);
  SimulationOptions options;
  const auto chosen = Simulate(arrivals, options, edge::ChooseServer);
  const auto fewest = Simulate(arrivals, options, FewestRunning);
  Print("token and cache aware", chosen);
  Print("fewest running", fewest);
  cr_expect_gt(chosen.valueFraction_, fewest.valueFraction_);
  cr_expect_lt(chosen.readTokens_, 0.8 * fewest.readTokens_);
}

Test(EdgeLoad, StaleReportsDoNotSendAllInstancesToOneServer)
{
  // Many instances receive reports once a second. If reported values do not
  // decay with age, all instances choose the server that was idle a second ago.
  const auto arrivals = OfficeArrivals(20, 14, 1, kSeed);
  SimulationOptions options = ManyInstances();
  const auto withDecay = Simulate(arrivals, options, edge::ChooseServer);
  const auto withoutDecay = Simulate(
    arrivals,
    options,
    [](const edge::PoolView& aPool, const edge::PlacementQuery& aQuery) {
      edge::PoolView pool = aPool;
      for (auto& [id, view] : pool.servers_) {
        // Makes reports of any age look current, which disables the decay.
        view.peerAt_ = aQuery.now_;
      }
      return edge::ChooseServer(pool, aQuery);
    });
  Print("reports decay with age", withDecay);
  Print("reports never decay", withoutDecay);
  cr_expect_gt(withDecay.valueFraction_, withoutDecay.valueFraction_);
  cr_expect_lt(withDecay.p95Ms_, 0.9 * withoutDecay.p95Ms_);
}

// Guards against queueing on a few engines: eighty instances that received each
// other's reports once a second sent several long prompts to the same engine
// although half of the engines were idle.
Test(EdgeLoad, PlacersSpreadPromptsWhenReportsAreStale)
{
  const auto arrivals = OfficeArrivals(20, 14, 1.3, kSeed);
  SimulationOptions options = ManyInstances();
  const auto perInstance = Simulate(arrivals, options, edge::ChooseServer);
  options.placers_ = 6;
  const auto withPlacers = Simulate(arrivals, options, edge::ChooseServer);
  Print("six placers", withPlacers);
  Print("no placers", perInstance);
  cr_expect_gt(withPlacers.valueFraction_, perInstance.valueFraction_ + 0.1);
  cr_expect_lt(withPlacers.p95Ms_, 0.7 * perInstance.p95Ms_);
  cr_expect_lt(withPlacers.readTokens_, perInstance.readTokens_);
}

// A session with most of the traffic must not overload the engines of its
// placer while the engines of other placers are idle.
Test(EdgeLoad, HotSessionSpreadsOverPlacers)
{
  auto arrivals = OfficeArrivals(20, 10, 1, kSeed);
  for (std::size_t index = 0; index < arrivals.size(); ++index) {
    if (index % 5 != 0 && arrivals[index].parts_[0].tokens_ > 2000) {
      arrivals[index].parts_[0].id_ = 1;
      arrivals[index].parts_[1].id_ = 1000;
    }
  }
  SimulationOptions options;
  options.engines_ = 90;
  options.reportInterval_ = std::chrono::seconds(1);
  options.placers_ = 6;
  const auto withPlacers = Simulate(arrivals, options, edge::ChooseServer);
  Print("one hot session", withPlacers);
  cr_expect_gt(withPlacers.valueFraction_, 0.9);
}

Test(EdgeLoad, AdmissionRefusesABurstBeyondCapacity)
{
  // Twice the usual rate for a third of the time, on the engines that remain
  // when two of three failure domains are lost. Without admission control,
  // nearly all requests that arrive during and after the burst are late.
  const auto arrivals = OfficeArrivals(36, 1, 2, kSeed);
  SimulationOptions options;
  options.engines_ = 6;
  const auto withAdmission = Simulate(arrivals, options, edge::ChooseServer);
  options.usesAdmission_ = false;
  const auto withoutAdmission = Simulate(arrivals, options, edge::ChooseServer);
  Print("with admission control", withAdmission);
  Print("without admission control", withoutAdmission);
  cr_expect_gt(withAdmission.valueFraction_,
               withoutAdmission.valueFraction_ + 0.1);
  cr_expect_gt(withAdmission.refusedFraction_, 0.05);
}

Test(EdgeLoad, RefusesAlmostNothingAtTheUsualRate)
{
  const auto arrivals = OfficeArrivals(60, 1, 1, kSeed);
  const auto result = Simulate(arrivals, {}, edge::ChooseServer);
  cr_expect_lt(result.refusedFraction_, 0.005);
}

// Guards against a read rate that is never learned. Only prompts that were sent
// to an idle engine counted, and the mean of the other instances' prompts made
// all engines look busy, so the first estimate was kept for good: engines that
// read twice as fast were ordered twice as often as needed. The number of
// tokens that an engine has to read is an estimate too, so the reading times
// that follow from both are checked.
Test(EdgeLoad, LearnsTheReadRateOfFastAndSlowEngines)
{
  for (const double rate : { 12.0, 38.4, 64.0, 180.0 }) {
    SimulationOptions options;
    options.readRate_ = rate;
    options.assumedReadRate_ = 30;
    options.reportInterval_ = std::chrono::milliseconds(150);
    // Engines in proportion, so that they are equally busy at each rate.
    options.engines_ = int(std::ceil(18 * 38.4 / rate));
    const auto arrivals = OfficeArrivals(20, 1, 1, kSeed);
    const auto result = Simulate(arrivals, options, edge::ChooseServer);
    std::printf("engines that read %.1f tokens/ms: learned %.1f, expected "
                "reading time %.2f of the actual\n",
                rate,
                result.learnedReadRate_,
                result.expectedReadFraction_);
    cr_expect_gt(result.expectedReadFraction_, 0.75);
    cr_expect_lt(result.expectedReadFraction_, 1.33);
  }
}
