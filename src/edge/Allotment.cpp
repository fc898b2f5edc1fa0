#include "edge/Allotment.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A peer without a report for this time is taken to go on as before.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1000);
// After this time it is taken to be gone.
constexpr Duration kGoneAfter = std::chrono::seconds(10);
// Weight of a new report in the rate of a peer.
constexpr double kRateWeight = 0.3;
// Longest wait that a refused caller is told.
constexpr double kMaxWaitSeconds = 3;

double
Seconds(Duration aDuration)
{
  return double(aDuration.count()) / 1e6;
}

// Use of silent peers between two times.
double
SilentUse(const Allotment& aAllotment, MonotonicTime aFrom, MonotonicTime aTo)
{
  double use = 0;
  for (const auto& [id, peer] : aAllotment.peers_) {
    const MonotonicTime start = std::max(aFrom, peer.heard_ + kSilentAfter);
    const MonotonicTime end = std::min(aTo, peer.heard_ + kGoneAfter);
    if (end > start) {
      use += peer.rate_ * Seconds(end - start);
    }
  }
  return use;
}

void
Refill(Allotment& aAllotment, MonotonicTime aNow)
{
  const double gained = aAllotment.rate_ * Seconds(aNow - aAllotment.at_);
  const double silent = SilentUse(aAllotment, aAllotment.at_, aNow);
  aAllotment.level_ =
    std::min(aAllotment.burst_ + aAllotment.tolerance_,
             aAllotment.level_ + gained - silent);
  // A debt beyond one burst would refuse a workspace long after its excess.
  aAllotment.level_ = std::max(aAllotment.level_, -aAllotment.burst_);
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
  const double most = aBurst + aTolerance;
  aAllotment.level_ = isNew ? most : std::min(aAllotment.level_, most);
  aAllotment.at_ = aNow;
}

bool
TakeAllotment(Allotment& aAllotment, double aAmount, MonotonicTime aNow)
{
  if (aAllotment.rate_ <= 0) {
    aAllotment.used_ += aAmount;
    return true;
  }
  Refill(aAllotment, aNow);
  // A request larger than the burst passes with a full bucket.
  if (aAllotment.level_ < std::min(aAmount, aAllotment.burst_)) {
    return false;
  }
  aAllotment.level_ -= aAmount;
  aAllotment.used_ += aAmount;
  return true;
}

void
ReturnAllotment(Allotment& aAllotment, double aAmount)
{
  // used_ stays: peers take a fall for a restart.
  aAllotment.level_ = std::min(aAllotment.burst_ + aAllotment.tolerance_,
                               aAllotment.level_ + aAmount);
}

void
NotePeerUse(Allotment& aAllotment,
            const InstanceId& aPeer,
            double aUsed,
            MonotonicTime aNow)
{
  auto [found, isNew] = aAllotment.peers_.try_emplace(aPeer);
  AllotmentPeer& peer = found->second;
  if (isNew) {
    peer = { aUsed, 0, aNow };
    return;
  }
  if (aAllotment.rate_ > 0) {
    Refill(aAllotment, aNow);
  }
  // Fewer than before: the peer has started again, or a sum lacks an instance.
  const double use = std::max(0.0, aUsed - peer.used_);
  const Duration span = aNow - peer.heard_;
  if (span > Duration(0)) {
    const double rate = use / Seconds(span);
    peer.rate_ += kRateWeight * (rate - peer.rate_);
  }
  // What was already taken off while the peer was silent is not taken twice.
  const double counted =
    span > kSilentAfter
      ? peer.rate_ * Seconds(std::min(span, kGoneAfter) - kSilentAfter)
      : 0;
  aAllotment.level_ -= std::max(0.0, use - counted);
  peer.used_ = aUsed;
  peer.heard_ = aNow;
}

Duration
TimeUntil(const Allotment& aAllotment, double aAmount, MonotonicTime aNow)
{
  const double level =
    aAllotment.level_ + aAllotment.rate_ * Seconds(aNow - aAllotment.at_);
  const double missing = std::min(aAmount, aAllotment.burst_) - level;
  const double seconds =
    aAllotment.rate_ <= 0
      ? 0
      : std::clamp(missing / aAllotment.rate_, 0.0, kMaxWaitSeconds);
  return Duration(Duration::rep(seconds * 1e6));
}

} // namespace sycamoreward::edge
