#pragma once

// Entry instances in front of servers that name a request rate, under
// partitions and restarts. Counts what the servers get.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sycamoreward {

struct LimitScenario
{
  std::size_t instances_ = 6;
  // Whether the servers are engines, which placers choose on large sites.
  bool isEngine_ = true;
  // Rates that the first servers name from second 0 on, and all servers.
  std::vector<double> rates_;
  std::size_t servers_ = 6;
  // Requests a second of all callers.
  double demand_ = 100;
  double seconds_ = 16;
  // Instances that restart at second 6 and are down for a second.
  std::vector<std::size_t> restarted_;
  // Instances that are partitioned from the others from second 5 to 9.
  std::vector<std::size_t> partitioned_;
};

struct LimitOutcome
{
  // For each limited server, the most requests in 4 s from instances that it
  // had told half a second before, from contact on.
  std::vector<double> mostInWindow_;
  // Requests that each limited server got from contact on, as a fraction of
  // what its rate allows.
  std::vector<double> usedFraction_;
};

// Time after the first naming from which the platform counts.
constexpr double kLimitContactSeconds = 4;
constexpr double kLimitWindowSeconds = 4;

// Plays aScenario with random requests that are spread over the instances.
LimitOutcome
PlayLimits(const LimitScenario& aScenario, std::uint64_t aSeed);

} // namespace sycamoreward
