#pragma once

// Simulates a pool of engines that read prompts one at a time and several entry
// instances that place arriving requests on them. Runs in simulated time, with
// the real placement policy or a simpler one.

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
  // Value of an answer on time; a late answer has a tenth of it.
  double value_ = 1;
};

struct SimulationOptions
{
  int instances_ = 6;
  int engines_ = 18;
  // Prompt tokens that an engine reads per millisecond, and the instances'
  // first estimate of it; 0 if they know it.
  double readRate_ = 38.4;
  double assumedReadRate_ = 0;
  // Interval between the reports that the instances exchange. With 0, each
  // arrival is placed with current reports.
  Duration reportInterval_{ 0 };
  // Number of placers that place all requests; 0 if each instance places its
  // own.
  int placers_ = 0;
  bool usesAdmission_ = true;
  std::uint64_t seed_ = 1;
};

struct SimulationResult
{
  double valueFraction_ = 0;
  double onTimeFraction_ = 0;
  double refusedFraction_ = 0;
  // 95th percentile of the time to the first event of served requests, in
  // milliseconds.
  double p95Ms_ = 0;
  double readTokens_ = 0;
  // Mean over the instances of the read rate that they have learned.
  double learnedReadRate_ = 0;
  // Sum of the reading times that were expected in the second half of the
  // arrivals, as a fraction of the actual ones.
  double expectedReadFraction_ = 0;
};

// Chooses a server for one request. aPool is the view of the placing instance.
using SimulatedPolicy =
  std::function<edge::Placement(const edge::PoolView& aPool,
                                const edge::PlacementQuery& aQuery)>;

SimulationResult
Simulate(const std::vector<SimulatedArrival>& aArrivals,
         const SimulationOptions& aOptions,
         const SimulatedPolicy& aPolicy);

// Generates the request mix of the offices: long reviews with shared parts,
// summaries and short queries, arriving in groups of three. The arrivals last
// for aSeconds at aRateFactor times the usual rate, with a burst of
// aBurstFactor times that rate in the middle third.
std::vector<SimulatedArrival>
OfficeArrivals(double aSeconds,
               double aRateFactor,
               double aBurstFactor,
               std::uint64_t aSeed);

// The simpler policy: chooses the server with the fewest running requests known
// to the instance, and ignores prompts.
edge::Placement
FewestRunning(const edge::PoolView& aPool, const edge::PlacementQuery& aQuery);

} // namespace sycamoreward
