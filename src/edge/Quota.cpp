#include "edge/Quota.h"

#include "base/DurationUnits.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Longest time for which the sum of the peers is extrapolated after its last
// report. Another instance is asked for the sum when the first one does not
// answer.
constexpr Duration kMaxExtrapolation = std::chrono::seconds(3);
// Maximum use that one report may add, and maximum debt, in seconds of the
// quota beyond its burst. Equals the platform's window.
constexpr double kMaxUseSeconds = 8;
// Weight of a new report in the smoothed rate of a peer.
constexpr double kRateWeight = 0.3;
// The same for a sum: its reports are rare, and each covers many requests.
constexpr double kAggregateRateWeight = 0.7;
// Requests are not spread evenly, so an instance may consume this multiple of
// its equal share, and at least one request of usual size.
constexpr double kLocalFactor = 2;
constexpr double kMinLocalCapacity = 12000;
// Grants come from a bucket of this many seconds of the quota, refilled at this
// fraction of its rate. Together with the local limits this stays below what
// the platform tolerates while reports of a sudden rise are in flight.
constexpr double kGrantSeconds = 0.35;
constexpr double kGrantRateFraction = 0.25;
// Grants are given while at least this fraction of the quota is left.
constexpr double kMinGrantLevelFraction = 0.5;
// Levels below this fraction of the capacity are reported to peers. Most
// workspaces are above it, and then a report needs no entry for them.
constexpr double kReportedLevelFraction = 0.5;
// Maximum wait time that a refused caller is given.
constexpr double kMaxWaitSeconds = 3;
// Key of the sum among the peers.
constexpr const char* kAggregatePeer = "others";

double
Capacity(const Quota& aQuota)
{
  return aQuota.burst_ + aQuota.tolerance_;
}

double
SharedCapacity(const Quota& aQuota)
{
  return aQuota.share_ * Capacity(aQuota);
}

double
LocalCapacity(const Quota& aQuota)
{
  return std::max(kLocalFactor * SharedCapacity(aQuota) / aQuota.instances_,
                  kMinLocalCapacity);
}

// Returns whether aAmount fits into a bucket. An amount above 90% of the
// capacity fits while the bucket is at least 90% full.
bool
Fits(double aAmount, double aLevel, double aCapacity)
{
  return aLevel >= std::min(aAmount, 0.9 * aCapacity);
}

// Returns the extrapolated use of a sum of peers between two times.
double
AggregateUse(const Quota& aQuota, MonotonicTime aFrom, MonotonicTime aTo)
{
  double use = 0;
  for (const auto& [id, peer] : aQuota.peers_) {
    const MonotonicTime start = std::max(aFrom, peer.lastReport_);
    const MonotonicTime end =
      std::min(aTo, peer.lastReport_ + kMaxExtrapolation);
    if (peer.isAggregate_ && end > start) {
      use += peer.rate_ * Seconds(end - start);
    }
  }
  return use;
}

void
Refill(Quota& aQuota, MonotonicTime aNow)
{
  const double gained = aQuota.rate_ * Seconds(aNow - aQuota.at_);
  const double used = AggregateUse(aQuota, aQuota.at_, aNow);
  aQuota.level_ = std::min(Capacity(aQuota), aQuota.level_ + gained - used);
  // The platform forgets an excess after its window, so the debt is limited to
  // the same time.
  aQuota.level_ =
    std::max(aQuota.level_, -(aQuota.burst_ + aQuota.rate_ * kMaxUseSeconds));
  aQuota.shareLevel_ = std::min(
    SharedCapacity(aQuota), aQuota.shareLevel_ + aQuota.share_ * gained - used);
  aQuota.localLevel_ =
    std::min(LocalCapacity(aQuota),
             aQuota.localLevel_ +
               aQuota.share_ * gained * kLocalFactor / aQuota.instances_);
  aQuota.grantLevel_ =
    std::min(aQuota.rate_ * kGrantSeconds,
             aQuota.grantLevel_ + gained * kGrantRateFraction);
  aQuota.at_ = aNow;
}

// Deducts use from the levels that all instances share.
void
Deduct(Quota& aQuota, double aUse)
{
  aQuota.level_ = std::min(Capacity(aQuota), aQuota.level_ - aUse);
  aQuota.shareLevel_ =
    std::min(SharedCapacity(aQuota), aQuota.shareLevel_ - aUse);
}

double
MaxUse(const Quota& aQuota)
{
  return aQuota.burst_ + aQuota.rate_ * kMaxUseSeconds;
}

} // namespace

void
SetLimits(Quota& aQuota,
          double aRate,
          double aBurst,
          double aTolerance,
          MonotonicTime aNow)
{
  const bool isNew = aQuota.rate_ == 0;
  if (!isNew) {
    Refill(aQuota, aNow);
  }
  aQuota.rate_ = aRate;
  aQuota.burst_ = aBurst;
  aQuota.tolerance_ = aTolerance;
  aQuota.level_ = isNew ? std::min(aQuota.peerLevel_.value_or(Capacity(aQuota)),
                                   Capacity(aQuota))
                        : std::min(aQuota.level_, Capacity(aQuota));
  if (isNew) {
    aQuota.startedAt_ = aNow;
  }
  aQuota.shareLevel_ = isNew
                         ? SharedCapacity(aQuota)
                         : std::min(aQuota.shareLevel_, SharedCapacity(aQuota));
  aQuota.at_ = aNow;
}

void
SetShare(Quota& aQuota,
         double aShare,
         std::size_t aInstances,
         bool aIsLocallyLimited,
         MonotonicTime aNow)
{
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  if (aQuota.share_ >= 1 && aShare < 1) {
    aQuota.shareLevel_ = aQuota.level_;
  }
  aQuota.share_ = aShare;
  aQuota.shareLevel_ = std::min(aQuota.shareLevel_, SharedCapacity(aQuota));
  aQuota.instances_ = double(std::max<std::size_t>(aInstances, 1));
  if (aIsLocallyLimited && !aQuota.isLocallyLimited_) {
    aQuota.localLevel_ = LocalCapacity(aQuota);
  }
  aQuota.isLocallyLimited_ = aIsLocallyLimited;
}

QuotaResult
TryConsumeQuota(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  if (aQuota.rate_ <= 0) {
    aQuota.used_ += aAmount;
    return QuotaResult::Consumed;
  }
  Refill(aQuota, aNow);
  const bool fitsShare =
    aQuota.share_ >= 1 ||
    Fits(aAmount, aQuota.shareLevel_, SharedCapacity(aQuota));
  if (!fitsShare || !Fits(aAmount, aQuota.level_, Capacity(aQuota))) {
    return QuotaResult::Exhausted;
  }
  if (aQuota.isLocallyLimited_ &&
      !Fits(aAmount, aQuota.localLevel_, LocalCapacity(aQuota))) {
    return QuotaResult::LocallyLimited;
  }
  aQuota.localLevel_ -= aAmount;
  aQuota.used_ += aAmount;
  Deduct(aQuota, aAmount);
  return QuotaResult::Consumed;
}

void
ConsumeGranted(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  Refill(aQuota, aNow);
  aQuota.used_ += aAmount;
  Deduct(aQuota, aAmount);
}

bool
GrantQuota(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  if (aQuota.rate_ <= 0) {
    return true;
  }
  Refill(aQuota, aNow);
  if (aQuota.share_ < 1 || aQuota.grantLevel_ < aAmount ||
      aQuota.level_ < kMinGrantLevelFraction * Capacity(aQuota)) {
    return false;
  }
  aQuota.grantLevel_ -= aAmount;
  return true;
}

void
RefundQuota(Quota& aQuota, double aAmount)
{
  // used_ is not lowered, because peers treat a decrease as a restart.
  Deduct(aQuota, -aAmount);
}

void
RecordPeerUse(Quota& aQuota,
              const InstanceId& aPeer,
              double aUsed,
              bool aIsContinuous,
              MonotonicTime aNow)
{
  auto [found, isNew] = aQuota.peers_.try_emplace(aPeer);
  QuotaPeer& peer = found->second;
  if (isNew || !aIsContinuous) {
    peer.used_ = aUsed;
    peer.lastReport_ = aNow;
    return;
  }
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  // A value below the last one means that the peer has restarted.
  const double use = std::clamp(aUsed - peer.used_, 0.0, MaxUse(aQuota));
  const Duration span = aNow - peer.lastReport_;
  if (span > Duration(0)) {
    peer.rate_ += kRateWeight * (use / Seconds(span) - peer.rate_);
  }
  Deduct(aQuota, use);
  peer.used_ = aUsed;
  peer.lastReport_ = aNow;
}

void
RecordPeerLevel(Quota& aQuota,
                const InstanceId& aPeer,
                double aLevel,
                MonotonicTime aNow)
{
  if (aQuota.peers_.count(aPeer) != 0) {
    return;
  }
  if (aQuota.rate_ <= 0) {
    aQuota.peerLevel_ = std::min(aQuota.peerLevel_.value_or(aLevel), aLevel);
    return;
  }
  if (Seconds(aNow - aQuota.startedAt_) <= kMaxUseSeconds) {
    Refill(aQuota, aNow);
    aQuota.level_ = std::min(aQuota.level_, aLevel);
  }
}

std::optional<double>
LevelForPeers(const Quota& aQuota, MonotonicTime aNow)
{
  const double level =
    aQuota.level_ + aQuota.rate_ * Seconds(aNow - aQuota.at_);
  if (aQuota.rate_ <= 0 || level >= kReportedLevelFraction * Capacity(aQuota)) {
    return std::nullopt;
  }
  return std::max(level, 0.0);
}

void
RecordAggregateUse(Quota& aQuota,
                   const AggregateSource& aSource,
                   double aUsed,
                   MonotonicTime aNow)
{
  auto [found, isNew] = aQuota.peers_.try_emplace(InstanceId(kAggregatePeer));
  QuotaPeer& peer = found->second;
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  const Duration span = aNow - peer.lastReport_;
  if (!isNew && peer.source_ == aSource && span > Duration(0)) {
    const double use = std::clamp(aUsed - peer.used_, 0.0, MaxUse(aQuota));
    // The use that was already deducted by extrapolation is not deducted again.
    const double counted =
      peer.rate_ * Seconds(std::min(span, kMaxExtrapolation));
    Deduct(aQuota, use - counted);
    peer.rate_ += kAggregateRateWeight * (use / Seconds(span) - peer.rate_);
  }
  peer.isAggregate_ = true;
  peer.source_ = aSource;
  peer.used_ = aUsed;
  peer.lastReport_ = aNow;
}

Duration
TimeUntil(const Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  const bool isShared = aQuota.share_ < 1;
  const double rate = aQuota.share_ * aQuota.rate_;
  const double currentLevel =
    isShared ? std::min(aQuota.level_, aQuota.shareLevel_) : aQuota.level_;
  const double capacity = isShared ? SharedCapacity(aQuota) : Capacity(aQuota);
  const double level = currentLevel + rate * Seconds(aNow - aQuota.at_);
  const double missing = std::min(aAmount, 0.9 * capacity) - level;
  const double seconds =
    rate <= 0 ? 0 : std::clamp(missing / rate, 0.0, kMaxWaitSeconds);
  return FromSeconds(seconds);
}

} // namespace sycamoreward::edge
