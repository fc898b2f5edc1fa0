#include "edge/Quota.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A sum of peers is extrapolated for this time after its last report.
constexpr Duration kSumAge = std::chrono::seconds(2);
// Most use that a report may add, and largest debt, in seconds of the
// quota. It is the platform's window; a sum jumps when it contains other
// instances than before.
constexpr double kMostUseSeconds = 8;
// Weight of a new report in the rate of a peer.
constexpr double kRateWeight = 0.3;
// Reports of a sum are rare, and each covers many requests.
constexpr double kSumRateWeight = 0.7;
// Requests are not spread evenly, so that an instance may take this multiple of
// its equal part, and at least one request of usual size.
constexpr double kLocalFactor = 2;
constexpr double kLeastLocal = 12000;
// Longest wait that a refused caller is told.
constexpr double kMaxWaitSeconds = 3;

double
Seconds(Duration aDuration)
{
  return double(aDuration.count()) / 1e6;
}

double
Most(const Quota& aQuota)
{
  return aQuota.share_ * (aQuota.burst_ + aQuota.tolerance_);
}

double
MostLocal(const Quota& aQuota)
{
  return std::max(kLocalFactor * Most(aQuota) / aQuota.instances_, kLeastLocal);
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
  const double gained =
    aQuota.share_ * aQuota.rate_ * Seconds(aNow - aQuota.at_);
  const double used = SumUse(aQuota, aQuota.at_, aNow);
  aQuota.level_ = std::min(Most(aQuota), aQuota.level_ + gained - used);
  // The platform forgets an excess after its window, and so does the debt.
  aQuota.level_ =
    std::max(aQuota.level_, -(aQuota.burst_ + aQuota.rate_ * kMostUseSeconds));
  aQuota.localLevel_ =
    std::min(MostLocal(aQuota),
             aQuota.localLevel_ + gained * kLocalFactor / aQuota.instances_);
  aQuota.at_ = aNow;
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
  const double most = Most(aQuota);
  aQuota.level_ = isNew ? most : std::min(aQuota.level_, most);
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
  aQuota.share_ = aShare;
  aQuota.instances_ = double(std::max<std::size_t>(aInstances, 1));
  if (aIsLocallyBound && !aQuota.isLocallyBound_) {
    aQuota.localLevel_ = MostLocal(aQuota);
  }
  aQuota.isLocallyBound_ = aIsLocallyBound;
  aQuota.level_ = std::min(aQuota.level_, Most(aQuota));
}

bool
TakeQuota(Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  if (aQuota.rate_ <= 0) {
    aQuota.used_ += aAmount;
    return true;
  }
  Refill(aQuota, aNow);
  const bool fitsLocally = !aQuota.isLocallyBound_ ||
                           Fits(aAmount, aQuota.localLevel_, MostLocal(aQuota));
  if (!fitsLocally || !Fits(aAmount, aQuota.level_, Most(aQuota))) {
    return false;
  }
  aQuota.localLevel_ -= aAmount;
  aQuota.level_ -= aAmount;
  aQuota.used_ += aAmount;
  return true;
}

void
ReturnQuota(Quota& aQuota, double aAmount)
{
  // used_ stays: peers take a fall for a restart.
  aQuota.level_ = std::min(Most(aQuota), aQuota.level_ + aAmount);
}

void
NotePeerUse(Quota& aQuota,
            const InstanceId& aPeer,
            double aUsed,
            bool aIsSum,
            MonotonicTime aNow)
{
  auto [found, isNew] = aQuota.peers_.try_emplace(aPeer);
  QuotaPeer& peer = found->second;
  if (isNew) {
    peer = { aUsed, 0, aNow, aIsSum };
    return;
  }
  if (aQuota.rate_ > 0) {
    Refill(aQuota, aNow);
  }
  // Fewer than before: the peer has started again, or a sum lacks an instance.
  const double most = aQuota.burst_ + aQuota.rate_ * kMostUseSeconds;
  const double use = std::clamp(aUsed - peer.used_, 0.0, most);
  const Duration span = aNow - peer.heard_;
  // What was taken off at the last rate is not taken twice.
  const double counted =
    aIsSum ? peer.rate_ * Seconds(std::min(span, kSumAge)) : 0;
  if (span > Duration(0)) {
    const double rate = use / Seconds(span);
    peer.rate_ += (aIsSum ? kSumRateWeight : kRateWeight) * (rate - peer.rate_);
  }
  aQuota.level_ = std::min(Most(aQuota), aQuota.level_ + counted - use);
  peer.used_ = aUsed;
  peer.heard_ = aNow;
}

Duration
TimeUntil(const Quota& aQuota, double aAmount, MonotonicTime aNow)
{
  const double rate = aQuota.share_ * aQuota.rate_;
  const double level = aQuota.level_ + rate * Seconds(aNow - aQuota.at_);
  const double missing = std::min(aAmount, 0.9 * Most(aQuota)) - level;
  const double seconds =
    rate <= 0 ? 0 : std::clamp(missing / rate, 0.0, kMaxWaitSeconds);
  return Duration(Duration::rep(seconds * 1e6));
}

} // namespace sycamoreward::edge
