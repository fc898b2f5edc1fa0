#pragma once

// Decides which instance holds the duties that only one instance may have at a
// time. The holder is named by a row of the store, which it renews repeatedly
// with conditional writes that fail if another instance has written the row.
// Another instance takes over when the row has not changed for the lease time,
// or when the holder has released it.
//
// When the store returns from an older copy, the row may name an earlier
// holder. Then only a holder whose lease is still valid goes on, and nobody
// claims the lease before any earlier one has expired. Epochs rise with the era
// of the store, so that none is given out twice.

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
  // Era of the store in which the holder wrote the row.
  StoreEra era_;
  // First window whose usage no holder can have reported before the era began,
  // unless its counts are stored.
  std::uint64_t firstWindow_ = 0;
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
  // Start of the last call that found or wrote the own row. Only within the
  // lease time after it, the version of the row is certain not to have been
  // given out again to another holder.
  MonotonicTime confirmed_;
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
  // Latest era of the store, and when all leases of earlier eras have expired.
  StoreEra era_;
  MonotonicTime earlierExpired_;
  // Highest epoch seen in the row, of a peer or of this instance.
  FencingToken highestEpoch_;
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

// Whether the store has never returned from an older copy, as far as aEra
// tells.
bool
IsFirstEra(StoreEra aEra);

// Returns whether this instance holds a verified lease that does not expire
// within the safety margin, so that it may act as the holder.
bool
HasValidLease(const DutyLease& aLease, MonotonicTime aNow);

// Notes the latest era of the store, before an answer is applied. Returns
// whether the store has returned from an older copy since the era before.
bool
NoteEra(DutyLease& aLease, StoreEra aEra, MonotonicTime aNow);

// Returns the epoch under which this instance claims the lease.
FencingToken
NextEpoch(const DutyLease& aLease);

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
