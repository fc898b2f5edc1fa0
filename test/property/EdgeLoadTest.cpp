// Replays of the load patterns that placement and admission answer, each
// against a simpler policy in the same run. Guards against a change that brings
// back the loss that the decision was made for.

#include "support/EngineQueueSimulation.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace sycamoreward;

namespace {

constexpr std::uint64_t kSeed = 20261204;

void
Print(const char* aName, const SimulationResult& aResult)
{
  std::printf("%-34s worth %.3f on time %.3f refused %.3f p95 %.0f ms, "
              "%.1f million tokens read\n",
              aName,
              aResult.worthPart_,
              aResult.onTimePart_,
              aResult.refusedPart_,
              aResult.p95Ms_,
              aResult.readTokens_ / 1e6);
}

// Reports of a fleet with collectors come once a second.
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

Test(EdgeLoad, PromptsAreCountedByTokensAndSentWhereTheyAreHeld)
{
  const auto arrivals = OfficeArrivals(60, 1, 1, kSeed);
  SimulationOptions options;
  const auto chosen = Simulate(arrivals, options, edge::ChooseServer);
  const auto fewest = Simulate(arrivals, options, FewestRunning);
  Print("tokens and held parts", chosen);
  Print("fewest running", fewest);
  cr_expect_gt(chosen.worthPart_, fewest.worthPart_);
  cr_expect_lt(chosen.readTokens_, 0.8 * fewest.readTokens_);
}

Test(EdgeLoad, OldReportsDoNotDrawAllInstancesToOneServer)
{
  // Many instances with a report a second: without the fading of old figures
  // all of them choose the server that was idle a second ago.
  const auto arrivals = OfficeArrivals(20, 14, 1, kSeed);
  SimulationOptions options = ManyInstances();
  const auto fading = Simulate(arrivals, options, edge::ChooseServer);
  const auto believing = Simulate(
    arrivals,
    options,
    [](const edge::PoolView& aPool, const edge::PlacementQuery& aQuery) {
      edge::PoolView pool = aPool;
      for (auto& [id, view] : pool.servers_) {
        // Figures of any age are taken for new ones.
        view.peerAt_ = aQuery.now_;
      }
      return edge::ChooseServer(pool, aQuery);
    });
  Print("old figures fade", fading);
  Print("old figures are believed", believing);
  cr_expect_gt(fading.worthPart_, believing.worthPart_);
  cr_expect_lt(fading.p95Ms_, 0.9 * believing.p95Ms_);
}

// Eighty instances that hear of each other once a second sent several long
// prompts to the same engine, although half of the engines were idle.
Test(EdgeLoad, PlacersKeepPromptsApartWhereReportsAreOld)
{
  const auto arrivals = OfficeArrivals(20, 14, 1.3, kSeed);
  SimulationOptions options = ManyInstances();
  const auto each = Simulate(arrivals, options, edge::ChooseServer);
  options.placers_ = 6;
  const auto placers = Simulate(arrivals, options, edge::ChooseServer);
  Print("six placers", placers);
  Print("each instance by itself", each);
  cr_expect_gt(placers.worthPart_, each.worthPart_ + 0.1);
  cr_expect_lt(placers.p95Ms_, 0.7 * each.p95Ms_);
  cr_expect_lt(placers.readTokens_, each.readTokens_);
}

// One session with most of the traffic must not fill the engines of its placer
// while those of the others are idle.
Test(EdgeLoad, AHotSessionSpreadsOverPlacers)
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
  const auto placers = Simulate(arrivals, options, edge::ChooseServer);
  Print("one hot session", placers);
  cr_expect_gt(placers.worthPart_, 0.9);
}

Test(EdgeLoad, ABurstBeyondCapacityIsRefusedInsteadOfMadeLate)
{
  // Twice the usual rate for a third of the time on the engines that are left
  // when two of three failure domains are gone. Without admission nearly all
  // that arrive in the burst and after it are late.
  const auto arrivals = OfficeArrivals(36, 1, 2, kSeed);
  SimulationOptions options;
  options.engines_ = 6;
  const auto admitting = Simulate(arrivals, options, edge::ChooseServer);
  options.admits_ = false;
  const auto serving = Simulate(arrivals, options, edge::ChooseServer);
  Print("refuses what would be late", admitting);
  Print("serves all", serving);
  cr_expect_gt(admitting.worthPart_, serving.worthPart_ + 0.1);
  cr_expect_gt(admitting.refusedPart_, 0.05);
}

Test(EdgeLoad, NothingIsRefusedAtTheUsualRate)
{
  const auto arrivals = OfficeArrivals(60, 1, 1, kSeed);
  const auto result = Simulate(arrivals, {}, edge::ChooseServer);
  cr_expect_lt(result.refusedPart_, 0.005);
}
