#include "edge/Quota.h"

#include "base/DurationUnits.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A sum of peers is extrapolated for this time after its last report: another
// instance is asked for it when the first one does not answer.
constexpr Duration kSumAge = std::chrono::seconds(3);
// Most use that a report may add, and largest debt, in seconds of the
// quota. It is the platform's window.
constexpr double kMostUseSeconds = 8;
// Weight of a new report in the rate of a peer.
constexpr double kRateWeight = 0.3;
// Reports of a sum are rare, and each covers many requests.
constexpr double kSumRateWeight = 0.7;
// Requests are not spread evenly, so that an instance may take this multiple of
// its equal part, and at least one request of usual size.
constexpr double kLocalFactor = 2;
constexpr double kLeastLocal = 12000;
// Grants come from a bucket of this many seconds of the quota, refilled with
// this part of its rate. Together with the local bounds it stays below what the
// platform tolerates while reports of a sudden rise are under way.
constexpr double kGrantSeconds = 0.35;
constexpr double kGrantPart = 0.25;
// Grants are given while at least this part of the quota is left.
constexpr double kGrantLevel = 0.5;
// Longest wait that a refused caller is told.
constexpr double kMaxWaitSeconds = 3;
// The name of the sum among the peers.
constexpr const char* kOthers = "others";

double
Most(const Quota& aQuota)
{
  return aQuota.burst_ + aQuota.tolerance_;
}

double
MostShared(const Quota& aQuota)
{
  return aQuota.share_ * Most(aQuota);
}

double
MostLocal(const Quota& aQuota)
{
  return std::max(kLocalFactor * MostShared(aQuota) / aQuota.instances_,
                  kLeastLocal);
}

// Whether aAmount fits into a bucket. One that is larger passes while the
// bucket is full.
bool
Fits(double aAmount, double aLevel, double aMost)
{
  return aLevel >= std::min(aAmount, 0.9 * aMost);
}

// Use of a sum of peers between two times, at its last rate.
double
SumUse(const Quota& aQuota, MonotonicTime aFrom, MonotonicTime aTo)
{
  double use = 0;
  for (const auto& [id, peer] : aQuota.peers_) {
    const MonotonicTime start = std::max(aFrom, peer.heard_);
    const MonotonicTime end = std::min(aTo, peer.heard_ + kSumAge);
    if (peer.isSum_ && end > start) {
      use += peer.rate_ * Seconds(end - start);
    }
  }
  return use;
}

void
Refill(Quota& aQuota, MonotonicTime aNow)
{
  const double gained = aQuota.rate_ * Seconds(aNow - aQuota.at_);
  const double used = SumUse(aQuota, aQuota.at_, aNow);
  aQuota.level_ = std::min(Most(aQuota), aQuota.level_ + gained - used);
  // The platform forgets an excess after its window, and so does the debt.
  aQuota.level_ =
    std::max(aQuota.level_, -(aQuota.burst_ + aQuota.rate_ * kMostUseSeconds));
  aQuota.shareLevel_ = std::min(
    MostShared(aQuota), aQuota.shareLevel_ + aQuota.share_ * gained - used);
  aQuota.localLevel_ =
    std::min(MostLocal(aQuota),
             aQuota.localLevel_ +
               aQuota.share_ * gained * kLocalFactor / aQuota.instances_);
  aQuota.grantLevel_ = std::min(aQuota.rate_ * kGrantSeconds,
                                aQuota.grantLevel_ + gained * kGrantPart);
  aQuota.at_ = aNow;
}

// Takes use off what is left for all.
void
TakeOff(Quota& aQuota, double aUse)
{
  aQuota.level_ = std::min(Most(aQuota), aQuota.level_ - aUse);
  aQuota.shareLevel_ = std::min(MostShared(aQuota), aQuota.shareLevel_ - aUse);
}

double
MostUse(const Quota& aQuota)
{
  return aQuota.burst_ + aQuota.rate_ * kMostUseSeconds;
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
  aQuota.level_ = isNew ? Most(aQuota) : std::min(aQuota.level_, Most(aQuota));
  aQuota.shareLevel_ = isNew ? MostShared(aQuota)
                             : std::min(aQuota.shareLevel_, MostShared(aQuota));
  aQuota.at_ = aNow;
}

void
SetShare(Quota& aQuota,
         double aShare,
         std::size_t aInstances,
         bool aIsLocallyBound,
         MonotonicTime aNow)
{
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  if (aQuota.share_ >= 1 && aShare < 1) {
    aQuota.shareLevel_ = aQuota.level_;
  }
  aQuota.share_ = aShare;
  aQuota.shareLevel_ = std::min(aQuota.shareLevel_, MostShared(aQuota));
  aQuota.instances_ = double(std::max<std::size_t>(aInstances, 1));
  if (aIsLocallyBound && !aQuota.isLocallyBound_) {
    aQuota.localLevel_ = MostLocal(aQuota);
  }
  aQuota.isLocallyBound_ = aIsLocallyBound;
}

QuotaResult
TakeQuota(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  if (aQuota.rate_ <= 0) {
    aQuota.used_ += aAmount;
    return QuotaResult::Taken;
  }
  Refill(aQuota, aNow);
  const bool fitsShare =
    aQuota.share_ >= 1 || Fits(aAmount, aQuota.shareLevel_, MostShared(aQuota));
  if (!fitsShare || !Fits(aAmount, aQuota.level_, Most(aQuota))) {
    return QuotaResult::UsedUp;
  }
  if (aQuota.isLocallyBound_ &&
      !Fits(aAmount, aQuota.localLevel_, MostLocal(aQuota))) {
    return QuotaResult::LocallyBound;
  }
  aQuota.localLevel_ -= aAmount;
  aQuota.used_ += aAmount;
  TakeOff(aQuota, aAmount);
  return QuotaResult::Taken;
}

void
TakeGranted(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  Refill(aQuota, aNow);
  aQuota.used_ += aAmount;
  TakeOff(aQuota, aAmount);
}

bool
GrantQuota(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  if (aQuota.rate_ <= 0) {
    return true;
  }
  Refill(aQuota, aNow);
  if (aQuota.share_ < 1 || aQuota.grantLevel_ < aAmount ||
      aQuota.level_ < kGrantLevel * Most(aQuota)) {
    return false;
  }
  aQuota.grantLevel_ -= aAmount;
  return true;
}

void
ReturnQuota(Quota& aQuota, double aAmount)
{
  // used_ stays: peers take a fall for a restart.
  TakeOff(aQuota, -aAmount);
}

void
NotePeerUse(Quota& aQuota,
            const InstanceId& aPeer,
            double aUsed,
            bool aIsFollowing,
            MonotonicTime aNow)
{
  auto [found, isNew] = aQuota.peers_.try_emplace(aPeer);
  QuotaPeer& peer = found->second;
  if (isNew || !aIsFollowing) {
    peer.used_ = aUsed;
    peer.heard_ = aNow;
    return;
  }
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  // Fewer than before: the peer has started again.
  const double use = std::clamp(aUsed - peer.used_, 0.0, MostUse(aQuota));
  const Duration span = aNow - peer.heard_;
  if (span > Duration(0)) {
    peer.rate_ += kRateWeight * (use / Seconds(span) - peer.rate_);
  }
  TakeOff(aQuota, use);
  peer.used_ = aUsed;
  peer.heard_ = aNow;
}

void
NoteSumUse(Quota& aQuota,
           const SumSource& aSource,
           double aUsed,
           MonotonicTime aNow)
{
  auto [found, isNew] = aQuota.peers_.try_emplace(InstanceId(kOthers));
  QuotaPeer& peer = found->second;
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  const Duration span = aNow - peer.heard_;
  if (!isNew && peer.source_ == aSource && span > Duration(0)) {
    const double use = std::clamp(aUsed - peer.used_, 0.0, MostUse(aQuota));
    // What was taken off at the last rate is not taken twice.
    const double counted = peer.rate_ * Seconds(std::min(span, kSumAge));
    TakeOff(aQuota, use - counted);
    peer.rate_ += kSumRateWeight * (use / Seconds(span) - peer.rate_);
  }
  peer.isSum_ = true;
  peer.source_ = aSource;
  peer.used_ = aUsed;
  peer.heard_ = aNow;
}

Duration
TimeUntil(const Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  const bool isShared = aQuota.share_ < 1;
  const double rate = aQuota.share_ * aQuota.rate_;
  const double now =
    isShared ? std::min(aQuota.level_, aQuota.shareLevel_) : aQuota.level_;
  const double most = isShared ? MostShared(aQuota) : Most(aQuota);
  const double level = now + rate * Seconds(aNow - aQuota.at_);
  const double missing = std::min(aAmount, 0.9 * most) - level;
  const double seconds =
    rate <= 0 ? 0 : std::clamp(missing / rate, 0.0, kMaxWaitSeconds);
  return FromSeconds(seconds);
}

} // namespace sycamoreward::edge
