#pragma once

// Entry instances that share the quota of one workspace, under partitions and
// restarts. Counts what all of them together let run.

#include "edge/ReportExchange.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sycamoreward {

// A partition of some instances from the others.
struct QuotaCut
{
  double start_ = 0;
  double seconds_ = 0;
  std::vector<std::size_t> instances_;
  // Messages from the instances, and to them, are dropped.
  bool isOutwards_ = true;
  bool isInwards_ = true;
};

// The kill of an instance, which starts again after some seconds.
struct QuotaRestart
{
  double at_ = 0;
  std::size_t instance_ = 0;
  double downSeconds_ = 0;
  // Time from the start until the instance has read the list of the others.
  double membersSeconds_ = 0;
};

struct QuotaScenario
{
  std::size_t instances_ = 6;
  // Limits of the workspace, in tokens.
  double rate_ = 0;
  double burst_ = 0;
  // Requested tokens per second as a multiple of the rate, from second
  // demandStart_ on, and 0.7 times the rate before.
  double demand_ = 1;
  double demandStart_ = 0;
  double seconds_ = 20;
  std::vector<QuotaCut> cuts_;
  std::vector<QuotaRestart> restarts_;
};

struct QuotaOutcome
{
  // Most tokens run within one window, and the most that the platform allows.
  double mostInWindow_ = 0;
  double allowed_ = 0;
  // Tokens requested and run.
  double requested_ = 0;
  double run_ = 0;
};

// Plays aScenario with random requests that are spread over the instances.
QuotaOutcome
PlayQuota(const QuotaScenario& aScenario, std::uint64_t aSeed);

// Draws a scenario with aInstances instances.
QuotaScenario
DrawQuotaScenario(std::size_t aInstances, std::mt19937_64& aRandom);

// Describes a scenario for the message of a failed test.
std::string
ToText(const QuotaScenario& aScenario);

} // namespace sycamoreward
