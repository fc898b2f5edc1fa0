#pragma once

// A lease stored in one table row. It does not depend on synchronized wall
// clocks: the holder measures the lease from before it sent a renewal, and a
// challenger from after it first read the current version of the row. Only the
// rates of the monotonic clocks must agree, within LeaseTerms::driftBound_.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <optional>

namespace sycamoreward {

struct LeaseTerms
{
  Duration duration_ = std::chrono::seconds(15);
  Duration renewInterval_ = std::chrono::seconds(5);
  // Maximum difference in rate between two clocks, as a fraction.
  double driftBound_ = 0.01;
};

// The stored lease. Each renewal and each takeover increments renewals_; a
// takeover also increments epoch_.
struct LeaseRow
{
  InstanceId holder_;
  FencingToken epoch_;
  std::uint64_t renewals_ = 0;
};

// The row as an instance last read or wrote it, and since when it is unchanged.
struct LeaseObservation
{
  std::optional<LeaseRow> row_;
  MonotonicTime unchangedSince_{};
};

// Records the row that was read or written; the reply arrived at aNow.
void
RecordLeaseRow(LeaseObservation& aObservation,
               const std::optional<LeaseRow>& aRow,
               MonotonicTime aNow);

// Whether the lease has certainly expired: the row is absent, or has not
// changed for the lease duration plus the clock drift. The takeover must be
// conditional on the observed row.
bool
MayTakeOver(const LeaseObservation& aObservation,
            MonotonicTime aNow,
            const LeaseTerms& aTerms);

// A lease from the holder's point of view, in its local monotonic time.
struct HeldLease
{
  FencingToken epoch_;
  // When the write that acquired the lease was sent.
  MonotonicTime acquired_{};
  // Measured from before the last successful renewal was sent.
  MonotonicTime validUntil_{};
};

// Returns the lease after a successful takeover or renewal sent at aSent.
HeldLease
GrantLease(const std::optional<HeldLease>& aBefore,
           const LeaseRow& aRow,
           MonotonicTime aSent,
           const LeaseTerms& aTerms);

// Whether the lease has not expired at aNow.
bool
IsValid(const HeldLease& aLease, MonotonicTime aNow);

} // namespace sycamoreward
