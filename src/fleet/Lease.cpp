#include "fleet/Lease.h"

namespace sycamoreward {

namespace {

bool
AreEqual(const std::optional<LeaseRow>& aLeft,
         const std::optional<LeaseRow>& aRight)
{
  if (!aLeft || !aRight) {
    return !aLeft && !aRight;
  }
  return aLeft->holder_ == aRight->holder_ && aLeft->epoch_ == aRight->epoch_ &&
         aLeft->renewals_ == aRight->renewals_;
}

Duration
Scale(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

} // namespace

void
RecordLeaseRow(LeaseObservation& aObservation,
               const std::optional<LeaseRow>& aRow,
               MonotonicTime aNow)
{
  if (!AreEqual(aObservation.row_, aRow)) {
    aObservation.row_ = aRow;
    aObservation.unchangedSince_ = aNow;
  }
}

bool
MayTakeOver(const LeaseObservation& aObservation,
            MonotonicTime aNow,
            const LeaseTerms& aTerms)
{
  if (!aObservation.row_) {
    return true;
  }
  const Duration wait = Scale(aTerms.duration_, 1.0 + aTerms.driftBound_);
  return aNow - aObservation.unchangedSince_ >= wait;
}

HeldLease
GrantLease(const std::optional<HeldLease>& aBefore,
           const LeaseRow& aRow,
           MonotonicTime aSent,
           const LeaseTerms& aTerms)
{
  HeldLease lease;
  lease.epoch_ = aRow.epoch_;
  const bool isRenewal = aBefore && aBefore->epoch_ == aRow.epoch_;
  lease.acquired_ = isRenewal ? aBefore->acquired_ : aSent;
  lease.validUntil_ = aSent + aTerms.duration_;
  return lease;
}

bool
IsValid(const HeldLease& aLease, MonotonicTime aNow)
{
  return aNow < aLease.validUntil_;
}

} // namespace sycamoreward
