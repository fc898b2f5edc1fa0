#pragma once

// Decides how many engines of which kind to order in each failure domain.
// Reclaimable engines carry the load because they are cheap; a base of others
// survives when a whole domain of reclaimable ones is taken away. Answers two
// load patterns: a slow wave of the demand, and the sudden loss of all
// reclaimable engines of a failure domain.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <map>

namespace sycamoreward::edge {

struct EngineCounts
{
  // Serving engines of each kind. Draining ones are not counted.
  std::uint32_t reserved_ = 0;
  std::uint32_t reclaimable_ = 0;
};

struct EnginePlanInputs
{
  std::map<FailureDomainId, EngineCounts> present_;
  // Bounds of each failure domain, both kinds together.
  std::uint32_t min_ = 0;
  std::uint32_t max_ = 0;
  // Price of a reclaimable engine as a part of that of another one.
  double reclaimablePrice_ = 1;
  std::map<FailureDomainId, double> prices_;
  // Prompt tokens a second that have to be read, and that one engine reads.
  double demand_ = 0;
  double engineRate_ = 0;
  // Requests were refused for lack of capacity since the last plan.
  bool hasRefused_ = false;
  MonotonicTime now_;
};

struct DomainPlan
{
  EngineCounts ordered_;
  // Last time at which reclaimable engines of the domain were taken away, or
  // an order for them was refused.
  MonotonicTime lossTime_;
  bool hasLoss_ = false;
  // More reclaimable engines were wanted than the bound leaves room for.
  bool lacksRoom_ = false;
  // When the number of reserved engines was last lowered.
  MonotonicTime reservedLoweredAt_;
};

struct EnginePlan
{
  std::map<FailureDomainId, DomainPlan> domains_;
  // Engines that the demand called for, kept for a while after it has fallen.
  double needed_ = 0;
  MonotonicTime neededAt_;
  bool isStarted_ = false;
  // For the log: what the last update went by, and engines that served then.
  double demand_ = 0;
  double engineRate_ = 0;
  double serving_ = 0;
};

// Updates the plan; the orders are in domains_[].ordered_.
void
UpdatePlan(EnginePlan& aPlan, const EnginePlanInputs& aInputs);

// Whether aLeaving reclaimable engines that began to leave together are taken
// away by the platform. Lower orders and replacements make few leave at a time.
bool
IsReclaim(const EngineCounts& aOrdered,
          const EngineCounts& aPresent,
          std::uint32_t aLeaving);

// The platform has none of the reclaimable engines that were ordered, or takes
// those of the domain away.
void
RecordLoss(EnginePlan& aPlan,
           const FailureDomainId& aDomain,
           MonotonicTime aNow);

} // namespace sycamoreward::edge
