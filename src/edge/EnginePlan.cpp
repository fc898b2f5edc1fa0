#include "edge/EnginePlan.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward::edge {

namespace {

// Part of the read capacity that the demand may use. Prompts arrive in clumps
// of several, and an engine with a prompt ahead of a new one makes it late.
constexpr double kUtilization = 0.3;
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
// Extra reserved engines in a domain that has lost its reclaimable ones.
constexpr std::uint32_t kReservedAfterLoss = 2;
// Time after a loss in which no reclaimable engine is ordered there, and in
// which the reserved ones are kept.
constexpr Duration kAfterLoss = std::chrono::seconds(6);
// One reserved engine of a domain is sent away in this time, so that the
// sessions that it holds move one by one.
constexpr Duration kLowerInterval = std::chrono::milliseconds(700);
// Price of a reclaimable engine above which it is not worth its risk.
constexpr double kWorthwhilePrice = 0.6;

bool
HasLately(const DomainPlan& aDomain, MonotonicTime aNow)
{
  return aDomain.hasLost_ && aNow - aDomain.lost_ < kAfterLoss;
}

double
NeededEngines(EnginePlan& aPlan, const EnginePlanInputs& aInputs)
{
  const double rate = std::max(aInputs.engineRate_, 1.0);
  double needed = aInputs.demand_ / (rate * kUtilization);
  if (aInputs.hasRefused_) {
    needed = std::max(needed, aPlan.needed_ * 1.1);
  }
  const double fade = std::exp2(
    -double((aInputs.now_ - aPlan.neededAt_).count()) /
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
  if (!isReplaced || aNow - aDomain.lowered_ < kLowerInterval ||
      HasLately(aDomain, aNow)) {
    return ordered;
  }
  aDomain.lowered_ = aNow;
  return ordered - 1;
}

} // namespace

void
UpdatePlan(EnginePlan& aPlan, const EnginePlanInputs& aInputs)
{
  const auto domains = std::uint32_t(std::max<std::size_t>(
    aInputs.present_.size(), 1));
  if (!aPlan.isStarted_) {
    aPlan.isStarted_ = true;
    aPlan.neededAt_ = aInputs.now_;
    for (const auto& [id, counts] : aInputs.present_) {
      aPlan.domains_[id].ordered_ = counts;
    }
  }
  const double needed =
    std::max(NeededEngines(aPlan, aInputs), kFewestPerDomain * domains);
  const bool usesReclaimable = aInputs.reclaimablePrice_ <= kWorthwhilePrice;
  std::uint32_t open = 0;
  for (const auto& [id, counts] : aInputs.present_) {
    open += HasLately(aPlan.domains_[id], aInputs.now_) ? 0 : 1;
  }
  for (const auto& [id, counts] : aInputs.present_) {
    DomainPlan& domain = aPlan.domains_[id];
    const bool hasLost = HasLately(domain, aInputs.now_);
    const std::uint32_t base =
      std::max(hasLost ? kReservedBase + kReservedAfterLoss : kReservedBase,
               aInputs.min_);
    std::uint32_t reclaimable = 0;
    if (usesReclaimable && !hasLost) {
      const double share = needed / double(std::max(open, 1u)) - kReservedBase;
      const double room = double(aInputs.max_) - double(base);
      reclaimable =
        std::uint32_t(std::clamp(std::ceil(share), 0.0, std::max(room, 0.0)));
    }
    std::uint32_t reserved = base;
    if (!usesReclaimable) {
      reserved = std::uint32_t(std::clamp(
        std::ceil(needed / domains), double(base), double(aInputs.max_)));
    }
    domain.ordered_.reserved_ = std::min(
      aInputs.max_,
      ReservedOrder(domain, counts, reserved, reclaimable, aInputs.now_));
    const std::uint32_t room =
      aInputs.max_ - std::min(aInputs.max_, domain.ordered_.reserved_);
    domain.ordered_.reclaimable_ = std::min(reclaimable, room);
  }
}

void
NoteLost(EnginePlan& aPlan, const FailureDomainId& aDomain, MonotonicTime aNow)
{
  DomainPlan& domain = aPlan.domains_[aDomain];
  domain.lost_ = aNow;
  domain.hasLost_ = true;
}

} // namespace sycamoreward::edge
