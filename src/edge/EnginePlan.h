#pragma once

// Decides how many engines of each kind to order in each failure domain.
// Reclaimable engines carry the load because they are cheap; a base of reserved
// engines survives when all reclaimable ones of a domain are reclaimed. The
// plan handles two load patterns: a slow wave of the demand, and the sudden
// loss of all reclaimable engines of a failure domain, with no others available
// for a while. In the second case reserved engines replace only what the demand
// keeps busy and a small margin, because the full margin is not worth their
// price.

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
  // Bounds of each failure domain, for both kinds together.
  std::uint32_t min_ = 0;
  std::uint32_t max_ = 0;
  // Price of a reclaimable engine as a fraction of that of a reserved one.
  double reclaimablePrice_ = 1;
  std::map<FailureDomainId, double> prices_;
  // Prompt tokens per second that have to be read, and that one engine reads.
  double demand_ = 0;
  double engineRate_ = 0;
  // Serving engines that name a request rate, and so do less than the others.
  std::uint32_t limited_ = 0;
  // Requests were refused for lack of capacity since the last plan.
  bool hasRefused_ = false;
  MonotonicTime now_;
};

// Plan for one failure domain.
struct DomainPlan
{
  EngineCounts ordered_;
  // Last time at which reclaimable engines of the domain were reclaimed, or an
  // order for them was refused.
  MonotonicTime lossTime_;
  bool hasLoss_ = false;
  // Reclaimable engines were lost or refused, and none has been added since. An
  // order counts only as far as its engines are present.
  bool isSupplyUncertain_ = false;
  // Reclaimable engines that were present when the loss was recorded or the
  // domain was last planned, to detect new ones.
  std::uint32_t knownReclaimable_ = 0;
  // More reclaimable engines are needed than the bound leaves room for.
  bool lacksRoom_ = false;
  // When the number of reserved engines was last lowered.
  MonotonicTime reservedLoweredAt_;
};

struct EnginePlan
{
  std::map<FailureDomainId, DomainPlan> domains_;
  // Engines that the demand needs, without the spare ones. Decays slowly after
  // the demand has fallen.
  double needed_ = 0;
  // The same with the smaller margin for which reserved engines are ordered.
  double reservedNeed_ = 0;
  MonotonicTime neededAt_;
  bool isStarted_ = false;
  // Inputs of the last update, and the engines that were serving then. Logged
  // with orders.
  double demand_ = 0;
  double engineRate_ = 0;
  double serving_ = 0;
};

// Whether the list of servers is complete enough to plan from. Servers register
// one after the other when the system starts, and a plan made from only some of
// them would release the rest. Later changes of the list do not matter.
struct ServerListSettling
{
  std::size_t listed_ = 0;
  MonotonicTime changedAt_;
  bool hasSettled_ = false;
};

// Updates the state with the number of servers that are listed now.
void
UpdateListState(ServerListSettling& aState,
                std::size_t aListed,
                MonotonicTime aNow);

// Updates the plan. The resulting orders are in domains_[].ordered_.
void
UpdatePlan(EnginePlan& aPlan, const EnginePlanInputs& aInputs);

// Returns whether aLeaving reclaimable engines, which began to leave together,
// are being reclaimed by the platform. Lower orders and replacements make only
// a few leave at a time.
bool
IsReclaim(const EngineCounts& aOrdered,
          const EngineCounts& aPresent,
          std::uint32_t aLeaving);

// Records that the platform reclaims the reclaimable engines of a domain, or
// has none of those that were ordered.
void
RecordLoss(EnginePlan& aPlan,
           const FailureDomainId& aDomain,
           MonotonicTime aNow);

} // namespace sycamoreward::edge
