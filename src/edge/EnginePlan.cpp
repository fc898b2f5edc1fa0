#include "edge/EnginePlan.h"

#include "base/DurationUnits.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward::edge {

namespace {

// Engines beyond those that the demand keeps busy, as a multiple of the square
// root of their number. Prompts arrive in bursts, and the more engines there
// are, the less likely a burst finds all of them busy. The value follows from
// eighteen engines for a demand of five and a half, as the offices run them.
constexpr double kBurstReserve = 5;
// The same for the need that reserved engines cover while no reclaimable ones
// are to be had.
constexpr double kReservedBurstReserve = 2.5;
// Maximum factor by which refusals may raise the need.
constexpr double kMaxRefusedFactor = 1.5;
// Minimum number of engines per failure domain, on average. With fewer, a burst
// of a few long prompts fills all of them.
constexpr double kMinEnginesPerDomain = 6;
// The same for the need that reserved engines cover.
constexpr double kMinReservedPerDomain = 3;
// Engines kept beyond those that the demand needs, as a fraction.
constexpr double kSpareFraction = 0.15;
// Half-life of the need after the demand has fallen. It decays slowly because
// starting an engine takes seconds and its memory is empty at first.
constexpr Duration kNeedHalfLife = std::chrono::seconds(20);
// The same for the need that reserved engines cover. They cost several times
// as much, so they are kept for a shorter time.
constexpr Duration kReservedNeedHalfLife = std::chrono::seconds(8);
// Minimum number of reserved engines of each failure domain. They serve the
// most urgent requests while reclaimable ones are started elsewhere.
constexpr std::uint32_t kReservedBase = 1;
// Time after a loss in which no further reclaimable engine is ordered in the
// domain.
constexpr Duration kLossBackoff = std::chrono::seconds(3);
// A domain's surplus reserved engines are released in steps: the excess divided
// by kLowerDivisor, at least one, in each interval. In this way the sessions
// that they hold move a few at a time.
constexpr Duration kLowerInterval = std::chrono::milliseconds(700);
constexpr std::uint32_t kLowerDivisor = 4;
// Reserved engines that fill the bound of a domain are replaced by reclaimable
// ones: the excess divided by kReplaceDivisor in each interval, while at least
// this fraction of the need is serving. The new engines start to serve some
// seconds later.
constexpr std::uint32_t kReplaceDivisor = 14;
constexpr double kMinReplaceServingFraction = 0.8;
// A reclaim removes at least one in this many of a domain's reclaimable
// engines.
constexpr std::uint32_t kReclaimDivisor = 3;
// Number of domains whose reclaimable engines may be lost within seconds, and
// the capacity that the remaining domains must have then, as a multiple of the
// busy engines. Two of three domains were seen to be lost within six seconds.
constexpr std::size_t kMaxDomainsLostTogether = 2;
constexpr double kAfterLossCapacityFactor = 1.1;
// Time without a change after which the list of servers is complete.
constexpr Duration kListSettleTime = std::chrono::milliseconds(1500);
// Maximum price of a reclaimable engine, as a fraction of a reserved one's.
// Above it the saving does not justify the risk.
constexpr double kMaxReclaimablePrice = 0.6;

bool
HasRecentLoss(const DomainPlan& aDomain, MonotonicTime aNow)
{
  return aDomain.hasLoss_ && aNow - aDomain.lossTime_ < kLossBackoff;
}

// Returns the number of engines that the demand keeps busy.
double
BusyEngines(const EnginePlanInputs& aInputs)
{
  return aInputs.demand_ / std::max(aInputs.engineRate_, 1.0);
}

// Updates aNeed, which decays by half in aHalfLife after the demand has fallen,
// with the engines that the demand keeps busy, a margin for bursts, and a
// replacement for each limited engine.
void
UpdateNeed(double& aNeed,
           double aBurstReserve,
           Duration aHalfLife,
           Duration aElapsed,
           const EnginePlanInputs& aInputs)
{
  const double busy = BusyEngines(aInputs);
  double needed =
    busy + aBurstReserve * std::sqrt(busy) + double(aInputs.limited_);
  if (aInputs.hasRefused_) {
    needed =
      std::max(needed, std::min(aNeed * 1.1, needed * kMaxRefusedFactor));
  }
  aNeed = std::max(needed, aNeed * DecayFactor(aElapsed, aHalfLife));
}

// Updates the needs of the plan. Before the first requests, the existing
// engines are assumed to be needed.
void
UpdateNeeds(EnginePlan& aPlan, const EnginePlanInputs& aInputs)
{
  const Duration elapsed = aInputs.now_ - aPlan.neededAt_;
  aPlan.neededAt_ = aInputs.now_;
  if (aInputs.demand_ <= 0) {
    return;
  }
  UpdateNeed(aPlan.needed_, kBurstReserve, kNeedHalfLife, elapsed, aInputs);
  UpdateNeed(aPlan.reservedNeed_,
             kReservedBurstReserve,
             kReservedNeedHalfLife,
             elapsed,
             aInputs);
}

// Returns the number of reserved engines to order in a domain. They are
// released a few at a time, as far as others serve in their place. aSurplus is
// the number of serving engines of the domain beyond its share of the need.
// aCanReplace allows releasing some for reclaimable ones that the domain's
// bound leaves no room for. aHasRequests is false before the first requests.
std::uint32_t
ReservedOrder(DomainPlan& aDomain,
              std::uint32_t aTarget,
              std::uint32_t aSurplus,
              bool aCanReplace,
              bool aHasRequests,
              MonotonicTime aNow)
{
  const std::uint32_t ordered = aDomain.ordered_.reserved_;
  if (aTarget >= ordered) {
    return aTarget;
  }
  const std::uint32_t excess = ordered - aTarget;
  // Before the first requests no engine holds sessions.
  const std::uint32_t atOnce =
    aHasRequests ? std::max(1u, excess / kLowerDivisor) : excess;
  std::uint32_t step = std::min(aSurplus, atOnce);
  if (aCanReplace) {
    step = std::max(step, std::max(1u, excess / kReplaceDivisor));
  }
  if (step == 0 || aNow - aDomain.reservedLoweredAt_ < kLowerInterval) {
    return ordered;
  }
  aDomain.reservedLoweredAt_ = aNow;
  return ordered - step;
}

// Returns the number of serving engines of both kinds.
double
ServingEngines(const EnginePlanInputs& aInputs)
{
  double serving = 0;
  for (const auto& [id, counts] : aInputs.present_) {
    serving += counts.reserved_ + counts.reclaimable_;
  }
  return serving;
}

// Trusts orders for reclaimable engines again when the domain has got new ones
// since the last loss.
void
UpdateSupply(DomainPlan& aDomain, const EngineCounts& aPresent)
{
  if (aPresent.reclaimable_ > aDomain.knownReclaimable_) {
    aDomain.isSupplyUncertain_ = false;
  }
  aDomain.knownReclaimable_ = aPresent.reclaimable_;
}

// Reclaimable engines that can be expected to serve.
struct ExpectedEngines
{
  double total_ = 0;
  // Those of the domain with the most.
  double largestDomain_ = 0;
};

void
AddExpected(ExpectedEngines& aExpected, double aDomain)
{
  aExpected.total_ += aDomain;
  aExpected.largestDomain_ = std::max(aExpected.largestDomain_, aDomain);
}

// Sets the number of reclaimable engines to order in each domain and returns
// those that can be expected. In domains with a recent loss, the present
// engines are kept.
ExpectedEngines
OrderReclaimable(EnginePlan& aPlan,
                 const EnginePlanInputs& aInputs,
                 double aNeeded)
{
  std::uint32_t openDomains = 0;
  ExpectedEngines expected;
  for (const auto& [id, counts] : aInputs.present_) {
    DomainPlan& domain = aPlan.domains_[id];
    UpdateSupply(domain, counts);
    if (HasRecentLoss(domain, aInputs.now_)) {
      AddExpected(expected, counts.reclaimable_);
      domain.ordered_.reclaimable_ = counts.reclaimable_;
    } else {
      ++openDomains;
    }
  }
  const std::size_t domains = aInputs.present_.size();
  const double afterLoss = domains <= kMaxDomainsLostTogether
                             ? 0
                             : kAfterLossCapacityFactor * BusyEngines(aInputs) /
                                 double(domains - kMaxDomainsLostTogether);
  const double share = std::max(
    afterLoss, (aNeeded - expected.total_) / double(std::max(openDomains, 1u)));
  for (const auto& [id, counts] : aInputs.present_) {
    DomainPlan& domain = aPlan.domains_[id];
    if (HasRecentLoss(domain, aInputs.now_)) {
      domain.lacksRoom_ = false;
      continue;
    }
    const std::uint32_t room =
      aInputs.max_ - std::min(aInputs.max_, domain.ordered_.reserved_);
    domain.ordered_.reclaimable_ =
      std::uint32_t(std::clamp(std::ceil(share), 0.0, double(room)));
    domain.lacksRoom_ = share > double(room);
    const std::uint32_t ordered = domain.ordered_.reclaimable_;
    AddExpected(expected,
                domain.isSupplyUncertain_
                  ? std::min(counts.reclaimable_, ordered)
                  : ordered);
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
      // A new holder of the duties may find both kinds of engines while one
      // replaces the other, so it plans from the demand if there is any.
      if (aInputs.demand_ <= 0) {
        aPlan.needed_ +=
          double(counts.reserved_ + counts.reclaimable_) / (1 + kSpareFraction);
      }
    }
    aPlan.reservedNeed_ = aPlan.needed_;
  }
  UpdateNeeds(aPlan, aInputs);
  const double needed = std::max(aPlan.needed_ * (1 + kSpareFraction),
                                 kMinEnginesPerDomain * domains);
  const double reservedNeed =
    std::min(needed,
             std::max(aPlan.reservedNeed_ * (1 + kSpareFraction),
                      kMinReservedPerDomain * domains));
  const std::uint32_t base = std::max(kReservedBase, aInputs.min_);
  ExpectedEngines expected;
  if (aInputs.reclaimablePrice_ <= kMaxReclaimablePrice) {
    expected = OrderReclaimable(aPlan, aInputs, needed - base * domains);
  }
  // Another domain may lose its reclaimable engines before others can start, so
  // those of the largest domain do not count. A single domain has no others.
  const double afterNextLoss =
    expected.total_ - (domains > 1 ? expected.largestDomain_ : 0);
  const double missing =
    std::max(0.0, (reservedNeed - afterNextLoss) / domains);
  aPlan.demand_ = aInputs.demand_;
  aPlan.engineRate_ = aInputs.engineRate_;
  aPlan.serving_ = ServingEngines(aInputs);
  const auto surplus = std::uint32_t(
    std::max(0.0, std::floor((aPlan.serving_ - reservedNeed) / domains)));
  const bool canReplace = aPlan.serving_ >= kMinReplaceServingFraction * needed;
  for (const auto& [id, counts] : aInputs.present_) {
    DomainPlan& domain = aPlan.domains_[id];
    const std::uint32_t room =
      aInputs.max_ - std::min(aInputs.max_, domain.ordered_.reclaimable_);
    const bool replaces = canReplace && domain.lacksRoom_;
    const std::uint32_t target =
      replaces
        ? base
        : std::min(room, std::max(base, std::uint32_t(std::ceil(missing))));
    domain.ordered_.reserved_ = ReservedOrder(
      domain, target, surplus, replaces, aInputs.demand_ > 0, aInputs.now_);
  }
}

void
UpdateListState(ServerListSettling& aState,
                std::size_t aListed,
                MonotonicTime aNow)
{
  if (aListed != aState.listed_) {
    aState.listed_ = aListed;
    aState.changedAt_ = aNow;
  }
  if (aListed > 0 && aNow - aState.changedAt_ >= kListSettleTime) {
    aState.hasSettled_ = true;
  }
}

bool
IsReclaim(const EngineCounts& aOrdered,
          const EngineCounts& aPresent,
          std::uint32_t aLeaving)
{
  return aPresent.reclaimable_ < aOrdered.reclaimable_ &&
         aLeaving * kReclaimDivisor >= aPresent.reclaimable_ + aLeaving;
}

void
RecordLoss(EnginePlan& aPlan,
           const FailureDomainId& aDomain,
           MonotonicTime aNow)
{
  DomainPlan& domain = aPlan.domains_[aDomain];
  if (HasRecentLoss(domain, aNow)) {
    return;
  }
  domain.lossTime_ = aNow;
  domain.hasLoss_ = true;
  domain.isSupplyUncertain_ = true;
}

} // namespace sycamoreward::edge
