#include "edge/Allotment.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A sum of peers is extrapolated for this time after its last report.
constexpr Duration kSumAge = std::chrono::seconds(2);
// Most use that a report may add, and largest debt, in seconds of the
// allotment. It is the platform's window; a sum jumps when it contains other
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
Most(const Allotment& aAllotment)
{
  return aAllotment.share_ * (aAllotment.burst_ + aAllotment.tolerance_);
}

double
MostLocal(const Allotment& aAllotment)
{
  return std::max(kLocalFactor * Most(aAllotment) / aAllotment.instances_,
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
SumUse(const Allotment& aAllotment, MonotonicTime aFrom, MonotonicTime aTo)
{
  double use = 0;
  for (const auto& [id, peer] : aAllotment.peers_) {
    const MonotonicTime start = std::max(aFrom, peer.heard_);
    const MonotonicTime end = std::min(aTo, peer.heard_ + kSumAge);
    if (peer.isSum_ && end > start) {
      use += peer.rate_ * Seconds(end - start);
    }
  }
  return use;
}

void
Refill(Allotment& aAllotment, MonotonicTime aNow)
{
  const double gained =
    aAllotment.share_ * aAllotment.rate_ * Seconds(aNow - aAllotment.at_);
  const double used = SumUse(aAllotment, aAllotment.at_, aNow);
  aAllotment.level_ =
    std::min(Most(aAllotment), aAllotment.level_ + gained - used);
  // The platform forgets an excess after its window, and so does the debt.
  aAllotment.level_ =
    std::max(aAllotment.level_,
             -(aAllotment.burst_ + aAllotment.rate_ * kMostUseSeconds));
  aAllotment.localLevel_ = std::min(
    MostLocal(aAllotment),
    aAllotment.localLevel_ + gained * kLocalFactor / aAllotment.instances_);
  aAllotment.at_ = aNow;
}

} // namespace

void
SetLimits(Allotment& aAllotment,
          double aRate,
          double aBurst,
          double aTolerance,
          MonotonicTime aNow)
{
  const bool isNew = aAllotment.rate_ == 0;
  if (!isNew) {
    Refill(aAllotment, aNow);
  }
  aAllotment.rate_ = aRate;
  aAllotment.burst_ = aBurst;
  aAllotment.tolerance_ = aTolerance;
  const double most = Most(aAllotment);
  aAllotment.level_ = isNew ? most : std::min(aAllotment.level_, most);
  aAllotment.at_ = aNow;
}

void
SetShare(Allotment& aAllotment,
         double aShare,
         std::size_t aInstances,
         bool aIsLocallyBound,
         MonotonicTime aNow)
{
  if (aAllotment.rate_ > 0) {
    Refill(aAllotment, aNow);
  }
  aAllotment.share_ = aShare;
  aAllotment.instances_ = double(std::max<std::size_t>(aInstances, 1));
  if (aIsLocallyBound && !aAllotment.isLocallyBound_) {
    aAllotment.localLevel_ = MostLocal(aAllotment);
  }
  aAllotment.isLocallyBound_ = aIsLocallyBound;
  aAllotment.level_ = std::min(aAllotment.level_, Most(aAllotment));
}

bool
TakeAllotment(Allotment& aAllotment, double aAmount, MonotonicTime aNow)
{
  if (aAllotment.rate_ <= 0) {
    aAllotment.used_ += aAmount;
    return true;
  }
  Refill(aAllotment, aNow);
  const bool fitsLocally =
    !aAllotment.isLocallyBound_ ||
    Fits(aAmount, aAllotment.localLevel_, MostLocal(aAllotment));
  if (!fitsLocally || !Fits(aAmount, aAllotment.level_, Most(aAllotment))) {
    return false;
  }
  aAllotment.localLevel_ -= aAmount;
  aAllotment.level_ -= aAmount;
  aAllotment.used_ += aAmount;
  return true;
}

void
ReturnAllotment(Allotment& aAllotment, double aAmount)
{
  // used_ stays: peers take a fall for a restart.
  aAllotment.level_ = std::min(Most(aAllotment), aAllotment.level_ + aAmount);
}

void
NotePeerUse(Allotment& aAllotment,
            const InstanceId& aPeer,
            double aUsed,
            bool aIsSum,
            MonotonicTime aNow)
{
  auto [found, isNew] = aAllotment.peers_.try_emplace(aPeer);
  AllotmentPeer& peer = found->second;
  if (isNew) {
    peer = { aUsed, 0, aNow, aIsSum };
    return;
  }
  if (aAllotment.rate_ > 0) {
    Refill(aAllotment, aNow);
  }
  // Fewer than before: the peer has started again, or a sum lacks an instance.
  const double most = aAllotment.burst_ + aAllotment.rate_ * kMostUseSeconds;
  const double use = std::clamp(aUsed - peer.used_, 0.0, most);
  const Duration span = aNow - peer.heard_;
  // What was taken off at the last rate is not taken twice.
  const double counted =
    aIsSum ? peer.rate_ * Seconds(std::min(span, kSumAge)) : 0;
  if (span > Duration(0)) {
    const double rate = use / Seconds(span);
    peer.rate_ += (aIsSum ? kSumRateWeight : kRateWeight) * (rate - peer.rate_);
  }
  aAllotment.level_ =
    std::min(Most(aAllotment), aAllotment.level_ + counted - use);
  peer.used_ = aUsed;
  peer.heard_ = aNow;
}

Duration
TimeUntil(const Allotment& aAllotment, double aAmount, MonotonicTime aNow)
{
  const double rate = aAllotment.share_ * aAllotment.rate_;
  const double level =
    aAllotment.level_ + rate * Seconds(aNow - aAllotment.at_);
  const double missing = std::min(aAmount, 0.9 * Most(aAllotment)) - level;
  const double seconds =
    rate <= 0 ? 0 : std::clamp(missing / rate, 0.0, kMaxWaitSeconds);
  return Duration(Duration::rep(seconds * 1e6));
}

} // namespace sycamoreward::edge
