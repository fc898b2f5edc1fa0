#pragma once

// Decides which instance holds the duties that one at a time may have. The
// holder is named by a row of the store that it writes again and again, each
// time under the condition that nobody else has written it. Another instance
// follows when the row has stayed the same for the lease time, or when the
// holder has given it up.

#include "base/Clock.h"
#include "base/Ids.h"

#include <string>

namespace sycamoreward::edge {

// Content of the row.
struct LeaseRow
{
  // Empty when the holder has given the duties up.
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
  Duration leaseTime_ = std::chrono::seconds(3);

  // Epoch that this instance holds; 0 for none.
  FencingToken heldEpoch_;
  std::uint64_t rowVersion_ = 0;
  // The holder acts until then.
  MonotonicTime validUntil_;
  MonotonicTime nextRenewal_;
  // The process stood still, or the row was not as expected: it has to be read
  // before the holder acts again. Calls from before that time settle nothing.
  bool isUnverified_ = false;
  MonotonicTime unverifiedSince_;

  // Last time at which another holder was heard of.
  MonotonicTime holderSeen_;
  // Version of the row that was read, and since when it has been the same.
  std::uint64_t seenVersion_ = 0;
  MonotonicTime seenSince_;
  MonotonicTime nextRead_;
  // No attempt to become the holder before this time.
  MonotonicTime earliestClaim_;
  // A call to the store is under way.
  bool isCallPending_ = false;
};

enum class LeaseStep
{
  None,
  // Read the row and enter it with ApplyLeaseRow.
  ReadRow,
  // Write the row again and enter the outcome with ApplyLeaseWrite or StepDown.
  Renew
};

// aPeerEpoch is the highest epoch that a live peer holds, 0 for none; aRank is
// the place of this instance among those that follow, 0 for the first.
LeaseStep
NextStep(DutyLease& aLease,
         FencingToken aPeerEpoch,
         std::size_t aRank,
         MonotonicTime aNow);

// Whether the holder may act now.
bool
HasValidLease(const DutyLease& aLease, MonotonicTime aNow);

// Enters the row as read by a call that began at aCallStart. Returns whether
// this instance should write itself into it with an epoch one higher.
bool
ApplyLeaseRow(DutyLease& aLease,
              const LeaseRow& aRow,
              MonotonicTime aCallStart,
              MonotonicTime aNow);

// A call that began at aCallStart wrote the row.
void
ApplyLeaseWrite(DutyLease& aLease,
                FencingToken aEpoch,
                std::uint64_t aVersion,
                MonotonicTime aCallStart,
                MonotonicTime aNow);

// The process stood still.
void
MarkUnverified(DutyLease& aLease, MonotonicTime aNow);

// Another holder is known, or the store has another row.
void
StepDown(DutyLease& aLease, MonotonicTime aNow);

} // namespace sycamoreward::edge
