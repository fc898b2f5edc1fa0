#pragma once

// How many instances to run where: the cheapest mix of reclaimable and
// on-demand instances that stays within the latency target when a failure
// domain's reclaimable instances go at once.

#include "base/Ids.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamoreward {

// An instance class that a failure domain offers.
struct InstanceOffer
{
  FailureDomainId failureDomain_;
  std::string class_;
  bool isReclaimable_ = false;
  // Price of an instance in currency units per hour.
  double price_ = 0;
  // Tokens per second that one instance gives at the latency target.
  double capacity_ = 0;
  // Instances of the class that can be had there.
  unsigned available_ = 0;
  // A start was refused a short time ago.
  bool isRefused_ = false;
};

// Amounts in tokens per second at the latency target.
struct CapacityDemand
{
  double total_ = 0;
  // What must remain when the reclaimable instances of any one failure domain
  // are lost.
  double afterReclaim_ = 0;
  // What must remain when any one failure domain is lost whole.
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
  // False when the offers can't meet the demand; the plan then holds all that
  // could be had.
  bool isSufficient_ = false;
};

// What remains of a plan's capacity after the worst wave, and after the worst
// loss of a failure domain.
double
CapacityAfterReclaim(const CapacityPlan& aPlan);
double
CapacityAfterDomainLoss(const CapacityPlan& aPlan);
double
TotalCapacity(const CapacityPlan& aPlan);

CapacityPlan
PlanCapacity(const std::vector<InstanceOffer>& aOffers,
             const CapacityDemand& aDemand);

} // namespace sycamoreward
