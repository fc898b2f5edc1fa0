#include "fleet/CapacityPlan.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

namespace {

double
PricePerToken(const InstanceOffer& aOffer)
{
  return aOffer.price_ / aOffer.capacity_;
}

double
MaxDomainLoss(const CapacityPlan& aPlan, bool aReclaimableOnly)
{
  std::map<FailureDomainId, double> lost;
  for (const auto& planned : aPlan.instances_) {
    if (!aReclaimableOnly || planned.offer_.isReclaimable_) {
      lost[planned.offer_.failureDomain_] +=
        planned.offer_.capacity_ * planned.count_;
    }
  }
  double worst = 0;
  for (const auto& [domain, capacity] : lost) {
    worst = std::max(worst, capacity);
  }
  return worst;
}

bool
MeetsDemand(const CapacityPlan& aPlan, const CapacityDemand& aDemand)
{
  return TotalCapacity(aPlan) >= aDemand.total_ &&
         CapacityAfterReclaim(aPlan) >= aDemand.afterReclaim_ &&
         CapacityAfterDomainLoss(aPlan) >= aDemand.afterDomainLoss_;
}

// Adds instances of one failure domain to the plan, cheapest first, until they
// provide aCapacity tokens per second. Returns the capacity still missing,
// which is negative when whole instances exceed it.
double
FillDomain(CapacityPlan& aPlan,
           const std::vector<InstanceOffer>& aCheapestFirst,
           double aCapacity)
{
  double missing = aCapacity;
  for (const InstanceOffer& offer : aCheapestFirst) {
    if (missing <= 0) {
      break;
    }
    const auto wanted =
      static_cast<unsigned>(std::ceil(missing / offer.capacity_ - 1e-9));
    const unsigned count = std::min(wanted, offer.available_);
    if (count == 0) {
      continue;
    }
    aPlan.instances_.push_back(PlannedInstances{ offer, count });
    aPlan.pricePerHour_ += offer.price_ * count;
    missing -= offer.capacity_ * count;
  }
  return missing;
}

using OffersByDomain =
  std::vector<std::pair<FailureDomainId, std::vector<InstanceOffer>>>;

// Groups the usable offers by failure domain. Offers within a domain, and the
// domains by their cheapest offer, are sorted by price per token.
OffersByDomain
GroupOffers(const std::vector<InstanceOffer>& aOffers)
{
  std::map<FailureDomainId, std::vector<InstanceOffer>> domains;
  for (const InstanceOffer& offer : aOffers) {
    if (!offer.isRefused_ && offer.available_ > 0 && offer.capacity_ > 0) {
      domains[offer.failureDomain_].push_back(offer);
    }
  }
  OffersByDomain sorted;
  for (auto& [domain, offers] : domains) {
    std::stable_sort(
      offers.begin(), offers.end(), [](const auto& aLeft, const auto& aRight) {
        return PricePerToken(aLeft) < PricePerToken(aRight);
      });
    sorted.emplace_back(domain, offers);
  }
  std::stable_sort(
    sorted.begin(), sorted.end(), [](const auto& aLeft, const auto& aRight) {
      return PricePerToken(aLeft.second.front()) <
             PricePerToken(aRight.second.front());
    });
  return sorted;
}

// Plans the same capacity in each of the first aDomains domains. Capacity that
// a domain lacks is planned in the following domains.
CapacityPlan
PlanAcrossDomains(const OffersByDomain& aOffers,
                  std::size_t aDomains,
                  double aCapacityOfDomain)
{
  CapacityPlan plan;
  double missing = 0;
  for (std::size_t index = 0; index < aOffers.size(); ++index) {
    const double share = index < aDomains ? aCapacityOfDomain : 0;
    if (share + missing <= 0) {
      break;
    }
    missing = FillDomain(plan, aOffers[index].second, share + missing);
  }
  return plan;
}

} // namespace

double
TotalCapacity(const CapacityPlan& aPlan)
{
  double total = 0;
  for (const auto& planned : aPlan.instances_) {
    total += planned.offer_.capacity_ * planned.count_;
  }
  return total;
}

double
CapacityAfterReclaim(const CapacityPlan& aPlan)
{
  return TotalCapacity(aPlan) - MaxDomainLoss(aPlan, true);
}

double
CapacityAfterDomainLoss(const CapacityPlan& aPlan)
{
  return TotalCapacity(aPlan) - MaxDomainLoss(aPlan, false);
}

CapacityPlan
PlanCapacity(const std::vector<InstanceOffer>& aOffers,
             const CapacityDemand& aDemand)
{
  const OffersByDomain offers = GroupOffers(aOffers);
  CapacityPlan best;
  const double minTotal = std::max(
    { aDemand.total_, aDemand.afterReclaim_, aDemand.afterDomainLoss_ });
  // With equal shares in k domains, the loss of one leaves (k - 1) / k of the
  // capacity.
  for (std::size_t domains = 1; domains <= offers.size(); ++domains) {
    const double survivingDomains = std::max<double>(double(domains) - 1, 1);
    const double remaining =
      std::max(aDemand.afterReclaim_, aDemand.afterDomainLoss_);
    const double share =
      std::max(minTotal / double(domains), remaining / survivingDomains);
    CapacityPlan plan = PlanAcrossDomains(offers, domains, share);
    plan.isSufficient_ = MeetsDemand(plan, aDemand);
    const bool isBetter =
      plan.isSufficient_ == best.isSufficient_
        ? (plan.isSufficient_ ? plan.pricePerHour_ < best.pricePerHour_
                              : TotalCapacity(plan) > TotalCapacity(best))
        : plan.isSufficient_;
    if (isBetter) {
      best = std::move(plan);
    }
  }
  return best;
}

} // namespace sycamoreward
