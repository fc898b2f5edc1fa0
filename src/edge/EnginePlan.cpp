#include "edge/EnginePlan.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward::edge {

namespace {

// Engines beyond those that the demand keeps busy, as a multiple of the square
// root of their number: prompts arrive in clumps, and the more engines there
// are, the rarer a clump finds all of them busy. Eighteen engines for a demand
// of five and a half, as the offices run them, give this figure.
constexpr double kClumpReserve = 5;
// Most that refusals may add to the need.
constexpr double kMostRefusedFactor = 1.5;
// Fewest engines in all, for each failure domain: below this a clump of a few
// long prompts fills all of them.
constexpr double kFewestPerDomain = 6;
// Engines kept beyond those that the demand needs, as a part.
constexpr double kSpare = 0.15;
// Time in which a higher need is kept after the demand has fallen. Starting an
// engine takes seconds and its memory is empty.
constexpr Duration kNeedHalfLife = std::chrono::seconds(20);
// Reserved engines of each failure domain that stay. They serve the most
// urgent requests while reclaimable ones are started elsewhere.
constexpr std::uint32_t kReservedBase = 1;
// Time after a loss in which no further reclaimable engine is ordered there.
constexpr Duration kAfterLoss = std::chrono::seconds(3);
constexpr std::uint32_t kMostDoublings = 2;
// A loss that lies back further than this starts the doubling anew.
constexpr Duration kForgetLoss = std::chrono::seconds(30);
// One reserved engine of a domain is sent away in this time, so that the
// sessions that it holds move one by one.
constexpr Duration kLowerInterval = std::chrono::milliseconds(700);
// Price of a reclaimable engine above which it is not worth its risk.
constexpr double kWorthwhilePrice = 0.6;

bool
HasLately(const DomainPlan& aDomain, MonotonicTime aNow)
{
  const auto doublings = std::min(aDomain.losses_, kMostDoublings);
  return aDomain.hasLost_ &&
         aNow - aDomain.lost_ < kAfterLoss * (std::int64_t(1) << doublings);
}

double
NeededEngines(EnginePlan& aPlan, const EnginePlanInputs& aInputs)
{
  if (aInputs.demand_ <= 0) {
    // Before the first requests the engines found are taken to be needed.
    aPlan.neededAt_ = aInputs.now_;
    return aPlan.needed_ * (1 + kSpare);
  }
  const double busy = aInputs.demand_ / std::max(aInputs.engineRate_, 1.0);
  double needed = busy + kClumpReserve * std::sqrt(busy);
  if (aInputs.hasRefused_) {
    needed = std::max(
      needed, std::min(aPlan.needed_ * 1.1, needed * kMostRefusedFactor));
  }
  const double fade =
    std::exp2(-double((aInputs.now_ - aPlan.neededAt_).count()) /
              double(kNeedHalfLife.count()));
  aPlan.needed_ = std::max(needed, aPlan.needed_ * fade);
  aPlan.neededAt_ = aInputs.now_;
  return aPlan.needed_ * (1 + kSpare);
}

// Reserved engines of a domain: sent away one at a time once the reclaimable
// ones that replace them serve.
std::uint32_t
ReservedOrder(DomainPlan& aDomain,
              const EngineCounts& aPresent,
              std::uint32_t aTarget,
              std::uint32_t aReclaimable,
              MonotonicTime aNow)
{
  const std::uint32_t ordered = aDomain.ordered_.reserved_;
  if (aTarget >= ordered) {
    return aTarget;
  }
  const bool isReplaced = aPresent.reclaimable_ + 1 >= aReclaimable;
  if (!isReplaced || aNow - aDomain.lowered_ < kLowerInterval) {
    return ordered;
  }
  aDomain.lowered_ = aNow;
  return ordered - 1;
}

// Sets the reclaimable engines of each domain and returns how many engines of
// that kind can be expected. Where they can't be had, those that are present
// are kept.
double
OrderReclaimable(EnginePlan& aPlan,
                 const EnginePlanInputs& aInputs,
                 double aNeeded)
{
  std::uint32_t open = 0;
  double expected = 0;
  for (const auto& [id, counts] : aInputs.present_) {
    DomainPlan& domain = aPlan.domains_[id];
    if (HasLately(domain, aInputs.now_)) {
      expected += counts.reclaimable_;
      domain.ordered_.reclaimable_ = counts.reclaimable_;
    } else {
      ++open;
    }
  }
  const double share = (aNeeded - expected) / double(std::max(open, 1u));
  for (const auto& [id, counts] : aInputs.present_) {
    DomainPlan& domain = aPlan.domains_[id];
    if (HasLately(domain, aInputs.now_)) {
      continue;
    }
    const std::uint32_t room =
      aInputs.max_ - std::min(aInputs.max_, domain.ordered_.reserved_);
    domain.ordered_.reclaimable_ =
      std::uint32_t(std::clamp(std::ceil(share), 0.0, double(room)));
    expected += domain.ordered_.reclaimable_;
  }
  return expected;
}

} // namespace

void
UpdatePlan(EnginePlan& aPlan, const EnginePlanInputs& aInputs)
{
  const double domains =
    double(std::max<std::size_t>(aInputs.present_.size(), 1));
  if (!aPlan.isStarted_) {
    aPlan.isStarted_ = true;
    aPlan.neededAt_ = aInputs.now_;
    for (const auto& [id, counts] : aInputs.present_) {
      aPlan.domains_[id].ordered_ = counts;
      aPlan.needed_ +=
        double(counts.reserved_ + counts.reclaimable_) / (1 + kSpare);
    }
  }
  const double needed =
    std::max(NeededEngines(aPlan, aInputs), kFewestPerDomain * domains);
  const std::uint32_t base = std::max(kReservedBase, aInputs.min_);
  double expected = 0;
  if (aInputs.reclaimablePrice_ <= kWorthwhilePrice) {
    expected = OrderReclaimable(aPlan, aInputs, needed - base * domains);
  }
  const double missing = std::max(0.0, (needed - expected) / domains);
  for (const auto& [id, counts] : aInputs.present_) {
    DomainPlan& domain = aPlan.domains_[id];
    const std::uint32_t room =
      aInputs.max_ - std::min(aInputs.max_, domain.ordered_.reclaimable_);
    const std::uint32_t target =
      std::min(room, std::max(base, std::uint32_t(std::ceil(missing))));
    domain.ordered_.reserved_ = ReservedOrder(
      domain, counts, target, domain.ordered_.reclaimable_, aInputs.now_);
  }
}

void
NoteLost(EnginePlan& aPlan, const FailureDomainId& aDomain, MonotonicTime aNow)
{
  DomainPlan& domain = aPlan.domains_[aDomain];
  if (HasLately(domain, aNow)) {
    return;
  }
  const bool isNew = !domain.hasLost_ || aNow - domain.lost_ > kForgetLoss;
  domain.losses_ = isNew ? 0 : domain.losses_ + 1;
  domain.lost_ = aNow;
  domain.hasLost_ = true;
}

} // namespace sycamoreward::edge
