#pragma once

// A lease held in one table row. It needs no common wall clock: the holder
// counts its lease from before it sent the renewal, and a challenger counts
// from after it first read the row in its present form. Only the rates of the
// monotonic clocks have to agree, within LeaseTerms::driftBound_.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <optional>

namespace sycamoreward {

struct LeaseTerms
{
  Duration duration_ = std::chrono::seconds(15);
  Duration renewInterval_ = std::chrono::seconds(5);
  // Largest difference in rate between two clocks, as a part.
  double driftBound_ = 0.01;
};

// The row in the table. Each renewal adds one to renewals_, and each change of
// holder adds one to epoch_.
struct LeaseRow
{
  InstanceId holder_;
  FencingToken epoch_;
  std::uint64_t renewals_ = 0;
};

// What a challenger has seen of the row.
struct LeaseObservation
{
  std::optional<LeaseRow> row_;
  MonotonicTime unchangedSince_{};
};

// Takes in a read of the row whose reply arrived at aNow.
void
RecordLeaseRow(LeaseObservation& aObservation,
               const std::optional<LeaseRow>& aRow,
               MonotonicTime aNow);

// Whether the lease has expired for sure: the row is absent, or has not changed
// for the whole duration. The takeover must be conditional on the row that was
// observed.
bool
MayTakeOver(const LeaseObservation& aObservation,
            MonotonicTime aNow,
            const LeaseTerms& aTerms);

// A lease as its holder sees it.
struct HeldLease
{
  FencingToken epoch_;
  MonotonicTime acquired_{};
  // Counted from before the renewal that last succeeded was sent.
  MonotonicTime validUntil_{};
};

// The lease that follows from a takeover or a renewal sent at aSent.
HeldLease
GrantLease(const std::optional<HeldLease>& aBefore,
           const LeaseRow& aRow,
           MonotonicTime aSent,
           const LeaseTerms& aTerms);

bool
IsValid(const HeldLease& aLease, MonotonicTime aNow);

} // namespace sycamoreward
