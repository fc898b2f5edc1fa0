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
// Levels below this fraction of the capacity are reported to peers. A peer that
// reports none has a full quota.
constexpr double kReportedLevelFraction = 0.95;
// Use of all instances together that the others have not confirmed yet, as a
// fraction of the tolerance.
constexpr double kUnconfirmedFraction = 0.6;
// Longest time until the other instances notice that one is silent and reduce
// their share.
constexpr double kDetectionSeconds = 1.5;
// While reports are older than this, an instance may consume only its equal
// share of the rate.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(1300);
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

// Number of instances that share the whole quota, the unreachable ones
// included.
double
AllInstances(const Quota& aQuota)
{
  return aQuota.share_ > 0 ? aQuota.instances_ / aQuota.share_
                           : aQuota.instances_;
}

double
UnconfirmedCapacity(const Quota& aQuota)
{
  return kUnconfirmedFraction * aQuota.tolerance_ / AllInstances(aQuota);
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
  const double equalShare = gained / AllInstances(aQuota);
  const MonotonicTime lastReport =
    std::max(aQuota.lastReport_, aQuota.startedAt_);
  const double factor = aNow - lastReport <= kMaxReportAge ? kLocalFactor : 1;
  aQuota.localLevel_ =
    std::min(LocalCapacity(aQuota), aQuota.localLevel_ + factor * equalShare);
  aQuota.unconfirmedLevel_ = std::min(UnconfirmedCapacity(aQuota),
                                      aQuota.unconfirmedLevel_ + equalShare);
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

// Returns what TryConsumeQuota would, without consuming.
QuotaResult
Check(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  if (aQuota.rate_ <= 0) {
    return QuotaResult::Consumed;
  }
  Refill(aQuota, aNow);
  const bool fitsShare =
    aQuota.share_ >= 1 ||
    (aQuota.share_ > 0 &&
     Fits(aAmount, aQuota.shareLevel_, SharedCapacity(aQuota)));
  if (!fitsShare || !Fits(aAmount, aQuota.level_, Capacity(aQuota))) {
    return QuotaResult::Exhausted;
  }
  const bool fitsLocal =
    !aQuota.isLocallyLimited_ ||
    Fits(aAmount, aQuota.localLevel_, LocalCapacity(aQuota));
  const bool fitsUnconfirmed =
    !aQuota.needsConfirmation_ ||
    Fits(aAmount, aQuota.unconfirmedLevel_, UnconfirmedCapacity(aQuota));
  return fitsLocal && fitsUnconfirmed ? QuotaResult::Consumed
                                      : QuotaResult::LocallyLimited;
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
AssumeUsedUp(Quota& aQuota)
{
  aQuota.isLevelAssumed_ = !aQuota.peerLevel_.has_value();
  aQuota.level_ = std::min(aQuota.level_, aQuota.peerLevel_.value_or(0));
  aQuota.shareLevel_ = 0;
}

void
AssumeUnused(Quota& aQuota)
{
  if (aQuota.isLevelAssumed_) {
    aQuota.isLevelAssumed_ = false;
    aQuota.level_ = Capacity(aQuota) - aQuota.used_;
  }
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
    // Until the silence was noticed, the instances in contact with this one
    // consumed from the whole level; what exceeds their share is deducted.
    const double consumed =
      aQuota.needsConfirmation_
        ? aShare * (kUnconfirmedFraction * aQuota.tolerance_ +
                    kDetectionSeconds * aQuota.rate_)
        : 0;
    aQuota.shareLevel_ = aShare * aQuota.level_ - (1 - aShare) * consumed;
  }
  aQuota.share_ = aShare;
  aQuota.shareLevel_ = std::min(aQuota.shareLevel_, SharedCapacity(aQuota));
  aQuota.instances_ = double(std::max<std::size_t>(aInstances, 1));
  if (aIsLocallyLimited && !aQuota.isLocallyLimited_) {
    aQuota.localLevel_ = LocalCapacity(aQuota);
  }
  aQuota.isLocallyLimited_ = aIsLocallyLimited;
}

void
SetShare(Quota& aQuota, const QuotaShare& aShare, MonotonicTime aNow)
{
  SetShare(
    aQuota, aShare.share_, aShare.instances_, aShare.isLocallyLimited_, aNow);
  aQuota.needsConfirmation_ = aShare.needsConfirmation_;
}

void
ConfirmUse(Quota& aQuota, double aUsed, MonotonicTime aNow)
{
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  aQuota.confirmedUse_ = std::max(aQuota.confirmedUse_, aUsed);
  const double unconfirmed = aQuota.used_ - aQuota.confirmedUse_;
  aQuota.unconfirmedLevel_ = std::max(
    aQuota.unconfirmedLevel_, UnconfirmedCapacity(aQuota) - unconfirmed);
}

bool
HasMuchUnconfirmedUse(const Quota& aQuota)
{
  return aQuota.needsConfirmation_ && aQuota.rate_ > 0 &&
         aQuota.unconfirmedLevel_ < 0.5 * UnconfirmedCapacity(aQuota);
}

bool
CanConsume(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  return Check(aQuota, aAmount, aNow) == QuotaResult::Consumed;
}

QuotaResult
TryConsumeQuota(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  const QuotaResult result = Check(aQuota, aAmount, aNow);
  if (result == QuotaResult::Consumed) {
    aQuota.localLevel_ -= aAmount;
    aQuota.unconfirmedLevel_ -= aAmount;
    aQuota.used_ += aAmount;
    Deduct(aQuota, aAmount);
  }
  return result;
}

void
ConsumeGranted(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  Refill(aQuota, aNow);
  aQuota.unconfirmedLevel_ -= aAmount;
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
  aQuota.unconfirmedLevel_ =
    std::min(UnconfirmedCapacity(aQuota), aQuota.unconfirmedLevel_ + aAmount);
}

void
RestartPeerUse(Quota& aQuota, const InstanceId& aPeer)
{
  const auto found = aQuota.peers_.find(aPeer);
  if (found != aQuota.peers_.end()) {
    found->second.used_ = 0;
  }
}

void
RecordPeerUse(Quota& aQuota,
              const InstanceId& aPeer,
              double aUsed,
              bool aIsContinuous,
              MonotonicTime aNow)
{
  aQuota.lastReport_ = aNow;
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
    // The peer may not know what this instance has used since its start.
    const double level = std::min(aLevel, Capacity(aQuota)) - aQuota.used_;
    aQuota.level_ =
      aQuota.isLevelAssumed_ ? level : std::min(aQuota.level_, level);
    aQuota.isLevelAssumed_ = false;
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
  aQuota.lastReport_ = aNow;
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
  if (rate <= 0) {
    return Duration(0);
  }
  double seconds = missing / rate;
  if (aQuota.needsConfirmation_) {
    // Without confirmations the instance has its equal share of the rate.
    const double unconfirmed =
      std::min(aAmount, 0.9 * UnconfirmedCapacity(aQuota)) -
      aQuota.unconfirmedLevel_;
    seconds =
      std::max(seconds, unconfirmed * AllInstances(aQuota) / aQuota.rate_);
  }
  return FromSeconds(std::clamp(seconds, 0.0, kMaxWaitSeconds));
}

} // namespace sycamoreward::edge
