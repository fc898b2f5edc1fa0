#pragma once

// Chooses how many instances to run in each failure domain: the cheapest mix of
// reclaimable and on-demand instances that still meets the latency target after
// all reclaimable instances of one failure domain are lost at once.

#include "base/Ids.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamoreward {

// An instance class available in a failure domain.
struct InstanceOffer
{
  FailureDomainId failureDomain_;
  std::string class_;
  bool isReclaimable_ = false;
  // Price of one instance, in currency units per hour.
  double price_ = 0;
  // Tokens per second that one instance serves within the latency target.
  double capacity_ = 0;
  // Maximum number of instances that can be started.
  unsigned available_ = 0;
  // A start was refused recently; the planner skips the offer.
  bool isRefused_ = false;
};

// Required capacity, in tokens per second within the latency target.
struct CapacityDemand
{
  double total_ = 0;
  // Capacity that must remain after the loss of all reclaimable instances of
  // any one failure domain.
  double afterReclaim_ = 0;
  // Capacity that must remain after the loss of any one failure domain.
  double afterDomainLoss_ = 0;
};

struct PlannedInstances
{
  InstanceOffer offer_;
  unsigned count_ = 0;
};

struct CapacityPlan
{
  std::vector<PlannedInstances> instances_;
  double pricePerHour_ = 0;
  // False when no plan met the demand; this is then the plan with the most
  // capacity among those that were tried.
  bool isSufficient_ = false;
};

// Capacity that remains after the worst case: the loss of all reclaimable
// instances of one failure domain, or of a complete failure domain.
double
CapacityAfterReclaim(const CapacityPlan& aPlan);
double
CapacityAfterDomainLoss(const CapacityPlan& aPlan);
// Capacity of all planned instances, in tokens per second.
double
TotalCapacity(const CapacityPlan& aPlan);

// Returns the cheapest plan that meets aDemand among those that spread it over
// the 1 to N cheapest failure domains.
CapacityPlan
PlanCapacity(const std::vector<InstanceOffer>& aOffers,
             const CapacityDemand& aDemand);

} // namespace sycamoreward
