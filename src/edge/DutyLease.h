#pragma once

// Decides which instance holds the duties that only one instance may have at a
// time. The holder is named by a row of the store, which it renews repeatedly
// with conditional writes that fail if another instance has written the row.
// Another instance takes over when the row has not changed for the lease time,
// or when the holder has released it.

#include "base/Clock.h"
#include "base/Ids.h"

#include <string>

namespace sycamoreward::edge {

// Content of the lease row.
struct LeaseRow
{
  // Empty when the holder has released the lease.
  InstanceId instance_;
  Incarnation incarnation_;
  FencingToken epoch_;
  // Version of the row in the store; 0 when there is none.
  std::uint64_t version_ = 0;
};

// State of the lease as seen by one instance.
struct DutyLease
{
  InstanceId self_;
  Incarnation incarnation_;
  Duration leaseTime_ = std::chrono::seconds(3);

  // Epoch that this instance holds; 0 if it does not hold the lease.
  FencingToken heldEpoch_;
  std::uint64_t rowVersion_ = 0;
  // The lease is valid until then, less a margin.
  MonotonicTime validUntil_;
  MonotonicTime nextRenewal_;
  // The process was suspended, or the row was not as expected. The row has to
  // be read before the holder acts again; a call that began before
  // unverifiedSince_ does not verify the lease.
  bool isUnverified_ = false;
  MonotonicTime unverifiedSince_;

  // Last time at which another holder was seen.
  MonotonicTime holderSeen_;
  // Version of the row as last read, and since when it has not changed.
  std::uint64_t seenVersion_ = 0;
  MonotonicTime seenSince_;
  MonotonicTime nextRead_;
  // This instance does not try to acquire the lease before this time.
  MonotonicTime earliestClaim_;
  // A call to the store is in progress.
  bool isCallPending_ = false;
};

// The next call to the store.
enum class LeaseStep
{
  None,
  // Read the row and pass it to ApplyLeaseRow.
  ReadRow,
  // Renew the row and pass the result to ApplyLeaseWrite, or call
  // MarkUnverified on a conflict.
  Renew
};

// Returns the next call to the store. aPeerEpoch is the highest epoch that a
// live peer holds, 0 for none; aRank is the place of this instance in the order
// of succession, 0 for the first.
LeaseStep
NextStep(DutyLease& aLease,
         FencingToken aPeerEpoch,
         std::size_t aRank,
         MonotonicTime aNow);

// Returns whether this instance holds a verified lease that does not expire
// within the safety margin, so that it may act as the holder.
bool
HasValidLease(const DutyLease& aLease, MonotonicTime aNow);

// Applies the row as read by a call that began at aCallStart. Returns whether
// this instance should claim the lease by writing itself into the row with the
// next higher epoch.
bool
ApplyLeaseRow(DutyLease& aLease,
              const LeaseRow& aRow,
              MonotonicTime aCallStart,
              MonotonicTime aNow);

// Records that a call that began at aCallStart wrote the row. The lease time
// counts from the start of the call.
void
ApplyLeaseWrite(DutyLease& aLease,
                FencingToken aEpoch,
                std::uint64_t aVersion,
                MonotonicTime aCallStart,
                MonotonicTime aNow);

// Marks the lease as unverified until the row has been read again, because the
// process was suspended or the row was not as expected.
void
MarkUnverified(DutyLease& aLease, MonotonicTime aNow);

// Gives up the lease, because another holder is known or the store has another
// row.
void
StepDown(DutyLease& aLease, MonotonicTime aNow);

} // namespace sycamoreward::edge
