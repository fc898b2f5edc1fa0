#pragma once

// A pool of engines that read prompts one after the other, several entry
// instances that place requests on them, and arrivals of a load pattern. Runs
// in simulated time with the product's decisions or with a simpler policy.

#include "edge/Admission.h"
#include "edge/Placement.h"
#include "edge/Placers.h"

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace sycamoreward {

struct SimulatedArrival
{
  Duration at_{ 0 };
  std::vector<edge::PromptPart> parts_;
  double promptTokens_ = 0;
  Duration objective_{ 0 };
  // Worth of an answer on time; a late one has a tenth.
  double value_ = 1;
};

struct SimulationOptions
{
  int instances_ = 6;
  int engines_ = 18;
  double readRate_ = 38.4;
  // Interval and age of what the instances tell each other. 0 for at once.
  Duration reportInterval_{ 0 };
  // Instances that place the requests of all; 0 when each places its own.
  int placers_ = 0;
  bool usesAdmission_ = true;
  std::uint64_t seed_ = 1;
};

struct SimulationResult
{
  double valueFraction_ = 0;
  double onTimeFraction_ = 0;
  double refusedFraction_ = 0;
  // Time to the first event of requests that were served, in milliseconds.
  double p95Ms_ = 0;
  double readTokens_ = 0;
};

// Chooses a server for one request; the pool is as that instance sees it.
using SimulatedPolicy =
  std::function<edge::Placement(const edge::PoolView& aPool,
                                const edge::PlacementQuery& aQuery)>;

SimulationResult
Simulate(const std::vector<SimulatedArrival>& aArrivals,
         const SimulationOptions& aOptions,
         const SimulatedPolicy& aPolicy);

// The mix of the offices: long reviews with shared parts, summaries and short
// queries, arriving in clumps of three, for aSeconds at aRateFactor times the
// usual rate, with a burst of aBurstFactor times that in the middle third.
std::vector<SimulatedArrival>
OfficeArrivals(double aSeconds,
               double aRateFactor,
               double aBurstFactor,
               std::uint64_t aSeed);

// Fewest running requests as the instance knows them, without regard to
// prompts.
edge::Placement
FewestRunning(const edge::PoolView& aPool, const edge::PlacementQuery& aQuery);

} // namespace sycamoreward
