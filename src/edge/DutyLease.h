#pragma once

// Decides which instance holds the duties that one at a time may have. The
// holder is named by a row of the store, written under a condition, so that
// each epoch has one holder. Other instances follow when they hear of no live
// holder.

#include "base/Clock.h"
#include "base/Ids.h"

#include <string>

namespace sycamoreward::edge {

// Content of the row.
struct LeaseRow
{
  InstanceId instance_;
  Incarnation incarnation_;
  FencingToken epoch_;
  // Version of the row in the store; 0 when there is none.
  std::uint64_t version_ = 0;
};

struct DutyLease
{
  InstanceId self_;
  Incarnation incarnation_;
  // Epoch that this instance holds; 0 for none.
  FencingToken held_;
  std::uint64_t rowVersion_ = 0;
  // Last time at which a holder was heard of, this instance included.
  MonotonicTime heard_;
  // A call to the store is under way.
  bool isAsking_ = false;
  // The row has to be read before the holder acts again.
  bool isDoubtful_ = false;
  // No attempt to become the holder before this time.
  MonotonicTime notBefore_;
};

enum class LeaseStep
{
  None,
  // Read the row and enter it with EnterRow.
  ReadRow
};

// aPeerEpoch is the highest epoch that a live peer holds, 0 for none; aRank is
// the place of this instance among the live ones, 0 for the first to follow.
LeaseStep
NextStep(DutyLease& aLease,
         FencingToken aPeerEpoch,
         std::size_t aRank,
         Duration aLeaseTime,
         MonotonicTime aNow);

// Enters the row as read. Returns whether this instance should write itself
// into it with an epoch one higher; aIsHolderLive says whether the instance in
// the row is heard.
bool
EnterRow(DutyLease& aLease,
         const LeaseRow& aRow,
         bool aIsHolderLive,
         MonotonicTime aNow);

// This instance wrote the row.
void
EnterHeld(DutyLease& aLease,
          FencingToken aEpoch,
          std::uint64_t aVersion,
          MonotonicTime aNow);

// Another holder is known, or the store has another row.
void
StepDown(DutyLease& aLease, Duration aLeaseTime, MonotonicTime aNow);

} // namespace sycamoreward::edge
