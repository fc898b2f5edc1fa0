#include "edge/DutyLease.h"

namespace sycamoreward::edge {

namespace {

// Instances follow one after the other in this interval, so that they don't
// race for the row.
constexpr Duration kRankInterval = std::chrono::milliseconds(400);

} // namespace

LeaseStep
NextStep(DutyLease& aLease,
         FencingToken aPeerEpoch,
         std::size_t aRank,
         Duration aLeaseTime,
         MonotonicTime aNow)
{
  if (aPeerEpoch > aLease.held_) {
    aLease.heard_ = aNow;
    if (aLease.held_.Value() != 0) {
      StepDown(aLease, aLeaseTime, aNow);
    }
    return LeaseStep::None;
  }
  if (aLease.isAsking_) {
    return LeaseStep::None;
  }
  if (aLease.held_.Value() != 0) {
    aLease.heard_ = aNow;
    return aLease.isDoubtful_ ? LeaseStep::ReadRow : LeaseStep::None;
  }
  const Duration patience = aLeaseTime + kRankInterval * std::int64_t(aRank);
  if (aNow < aLease.notBefore_ || aNow - aLease.heard_ < patience) {
    return LeaseStep::None;
  }
  return LeaseStep::ReadRow;
}

bool
EnterRow(DutyLease& aLease,
         const LeaseRow& aRow,
         bool aIsHolderLive,
         MonotonicTime aNow)
{
  const bool isOwn = aRow.instance_ == aLease.self_ &&
                     aRow.incarnation_ == aLease.incarnation_;
  aLease.isDoubtful_ = false;
  if (isOwn && aRow.version_ != 0) {
    // Also the outcome of a write whose reply was lost.
    EnterHeld(aLease, aRow.epoch_, aRow.version_, aNow);
    return false;
  }
  aLease.held_ = FencingToken(0);
  aLease.rowVersion_ = aRow.version_;
  if (aIsHolderLive) {
    aLease.heard_ = aNow;
    return false;
  }
  return aNow >= aLease.notBefore_;
}

void
EnterHeld(DutyLease& aLease,
          FencingToken aEpoch,
          std::uint64_t aVersion,
          MonotonicTime aNow)
{
  aLease.held_ = aEpoch;
  aLease.rowVersion_ = aVersion;
  aLease.heard_ = aNow;
  aLease.isDoubtful_ = false;
}

void
StepDown(DutyLease& aLease, Duration aLeaseTime, MonotonicTime aNow)
{
  aLease.held_ = FencingToken(0);
  aLease.isDoubtful_ = false;
  aLease.heard_ = aNow;
  aLease.notBefore_ = aNow + 2 * aLeaseTime;
}

} // namespace sycamoreward::edge
