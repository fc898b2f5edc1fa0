#include "edge/DutyLease.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Instances read the row one after the other at this interval, so that they do
// not race for it.
constexpr Duration kRankInterval = std::chrono::milliseconds(400);
// Time without a sign of a holder before the row is read.
constexpr Duration kHolderTimeout = std::chrono::milliseconds(1000);
constexpr Duration kReadInterval = std::chrono::milliseconds(900);
// The first instances in the order of succession read the row at this interval
// even while the holder is alive, so that they know its age when the holder
// stops. Reading it only then added the lease time to each change of the
// holder.
constexpr std::size_t kStandbyCount = 3;
constexpr Duration kStandbyInterval = std::chrono::milliseconds(1500);
// Three writes fit into the lease time of three seconds, so one of them may be
// lost.
constexpr std::int64_t kRenewalsPerLease = 3;
// The holder stops acting this long before other instances may take over,
// because calls take time.
constexpr Duration kValidityMargin = std::chrono::milliseconds(500);
// Wait beyond the lease time before taking over, for clocks that run at
// different rates.
constexpr Duration kExpiryMargin = std::chrono::milliseconds(300);
// Epochs of an era of the store. More than the lease can change hands in one.
constexpr std::uint64_t kEpochsPerEra = 1000000;
// Era of a store that has never returned from an older copy.
const StoreEra kFirstEra(1);

} // namespace

LeaseStep
NextStep(DutyLease& aLease,
         FencingToken aPeerEpoch,
         std::size_t aRank,
         MonotonicTime aNow)
{
  aLease.highestEpoch_ = std::max(aLease.highestEpoch_, aPeerEpoch);
  if (aPeerEpoch > aLease.heldEpoch_) {
    aLease.holderSeen_ = aNow;
    if (aLease.heldEpoch_.Value() != 0) {
      StepDown(aLease, aNow);
    }
    const bool isStandby = aRank < kStandbyCount && !aLease.isCallPending_ &&
                           aNow >= aLease.earliestClaim_ &&
                           aNow >= aLease.nextRead_;
    if (!isStandby) {
      return LeaseStep::None;
    }
    aLease.nextRead_ = aNow + kStandbyInterval;
    return LeaseStep::ReadRow;
  }
  if (aLease.isCallPending_) {
    return LeaseStep::None;
  }
  if (aLease.heldEpoch_.Value() != 0) {
    const bool isConfirmed = aNow - aLease.confirmed_ < aLease.leaseTime_;
    if (aLease.isUnverified_ || !isConfirmed) {
      return LeaseStep::ReadRow;
    }
    return aNow >= aLease.nextRenewal_ ? LeaseStep::Renew : LeaseStep::None;
  }
  const Duration wait = kHolderTimeout + kRankInterval * std::int64_t(aRank);
  if (aNow < aLease.earliestClaim_ || aNow < aLease.nextRead_ ||
      aNow - aLease.holderSeen_ < wait) {
    return LeaseStep::None;
  }
  aLease.nextRead_ = aNow + kReadInterval;
  return LeaseStep::ReadRow;
}

bool
IsFirstEra(StoreEra aEra)
{
  return aEra <= kFirstEra;
}

bool
HasValidLease(const DutyLease& aLease, MonotonicTime aNow)
{
  return aLease.heldEpoch_.Value() != 0 && !aLease.isUnverified_ &&
         aNow + kValidityMargin < aLease.validUntil_;
}

bool
NoteEra(DutyLease& aLease, StoreEra aEra, MonotonicTime aNow)
{
  if (aEra <= aLease.era_) {
    return false;
  }
  const bool isFirst = aLease.era_.Value() == 0;
  aLease.era_ = aEra;
  if (isFirst) {
    return false;
  }
  aLease.seenVersion_ = 0;
  aLease.seenSince_ = MonotonicTime();
  aLease.earlierExpired_ = aNow + aLease.leaseTime_ + kExpiryMargin;
  if (HasValidLease(aLease, aNow)) {
    MarkUnverified(aLease, aNow);
  } else {
    aLease.heldEpoch_ = FencingToken(0);
    aLease.isUnverified_ = false;
  }
  return true;
}

FencingToken
NextEpoch(const DutyLease& aLease)
{
  return FencingToken(std::max(aLease.highestEpoch_.Value() + 1,
                               aLease.era_.Value() * kEpochsPerEra + 1));
}

bool
ApplyLeaseRow(DutyLease& aLease,
              const LeaseRow& aRow,
              MonotonicTime aCallStart,
              MonotonicTime aNow)
{
  aLease.highestEpoch_ = std::max(aLease.highestEpoch_, aRow.epoch_);
  const bool isSelf = aRow.instance_ == aLease.self_ && aRow.version_ != 0;
  // A row from an older copy may name this instance for a lease that it has
  // lost.
  const bool isCurrent =
    aRow.era_ == aLease.era_ ||
    (aLease.heldEpoch_.Value() != 0 && aRow.epoch_ == aLease.heldEpoch_);
  if (isSelf && isCurrent && aRow.incarnation_ == aLease.incarnation_) {
    // This also covers a write whose reply was lost. Other instances may have
    // seen this row for most of the lease time already, so the holder may act
    // again only after a new write.
    aLease.heldEpoch_ = aRow.epoch_;
    aLease.rowVersion_ = aRow.version_;
    aLease.nextRenewal_ = aNow;
    aLease.confirmed_ = aCallStart;
    if (aCallStart > aLease.unverifiedSince_) {
      aLease.isUnverified_ = false;
    }
    return false;
  }
  aLease.heldEpoch_ = FencingToken(0);
  aLease.isUnverified_ = false;
  const bool isFirstRead = aLease.seenSince_ == MonotonicTime();
  if (isFirstRead || aRow.version_ != aLease.seenVersion_) {
    aLease.seenVersion_ = aRow.version_;
    aLease.seenSince_ = aNow;
  }
  // The row may name an earlier incarnation of this instance, which has ended
  // and no longer acts. After a return from an older copy, the row or its
  // absence may hide a later holder.
  const bool isUnheld = aRow.instance_.Value().empty() || isSelf;
  const bool isFree = aRow.version_ == 0 ? IsFirstEra(aLease.era_)
                                         : isUnheld && aRow.era_ == aLease.era_;
  const bool isExpired =
    aNow - aLease.seenSince_ >= aLease.leaseTime_ + kExpiryMargin;
  return aNow >= aLease.earliestClaim_ && aNow >= aLease.earlierExpired_ &&
         (isFree || isExpired);
}

void
ApplyLeaseWrite(DutyLease& aLease,
                FencingToken aEpoch,
                std::uint64_t aVersion,
                MonotonicTime aCallStart,
                MonotonicTime aNow)
{
  aLease.heldEpoch_ = aEpoch;
  aLease.highestEpoch_ = std::max(aLease.highestEpoch_, aEpoch);
  aLease.rowVersion_ = aVersion;
  aLease.confirmed_ = aCallStart;
  if (aLease.isUnverified_) {
    return;
  }
  aLease.validUntil_ = aCallStart + aLease.leaseTime_;
  aLease.nextRenewal_ = aNow + aLease.leaseTime_ / kRenewalsPerLease;
}

void
MarkUnverified(DutyLease& aLease, MonotonicTime aNow)
{
  aLease.isUnverified_ = true;
  aLease.unverifiedSince_ = aNow;
}

void
StepDown(DutyLease& aLease, MonotonicTime aNow)
{
  aLease.heldEpoch_ = FencingToken(0);
  aLease.isUnverified_ = false;
  aLease.holderSeen_ = aNow;
  aLease.seenVersion_ = 0;
  // An instance that has lost the duties leaves them to others for a while.
  aLease.earliestClaim_ = aNow + 2 * aLease.leaseTime_;
}

} // namespace sycamoreward::edge
