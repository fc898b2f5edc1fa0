#pragma once

// Decides which windows of usage a holder of the duties may report. The counts
// of a window are stored before they are sent, so that a later holder sends the
// same ones. A store that returns from an older copy may have lost them: then a
// window that an earlier holder can have reported must not be reported again.

#include "edge/DutyLease.h"

namespace sycamoreward::edge {

// Windows are numbered in the order of their times.
struct ReportableWindows
{
  // Window in which this instance learned of the store's current era, at the
  // latest. Holders of earlier eras can only have reported windows before it.
  std::uint64_t era_ = 0;
  // Window in which this instance took over the duties. It has not been
  // reported by an earlier holder.
  std::uint64_t claim_ = 0;
  // First window that this instance may report as the holder unless it knows
  // the counts that were stored.
  std::uint64_t first_ = 0;
  // The same for later holders in this era of the store.
  std::uint64_t firstOfSuccessors_ = 0;
};

// Notes in aWindow that the store is in a new era. With aIsHolder this instance
// holds the duties throughout.
void
NoteEra(ReportableWindows& aWindows, std::uint64_t aWindow, bool aIsHolder);

// Notes that this instance claims the duties in aWindow while the store is in
// aEra. aRow is the lease row that it replaces, with version 0 for none.
void
NoteClaim(ReportableWindows& aWindows,
          const LeaseRow& aRow,
          StoreEra aEra,
          std::uint64_t aWindow);

} // namespace sycamoreward::edge
