#include "edge/ReportableWindows.h"

#include <algorithm>

namespace sycamoreward::edge {

void
NoteEra(ReportableWindows& aWindows, std::uint64_t aWindow, bool aIsHolder)
{
  aWindows.era_ = aWindow;
  if (!aIsHolder) {
    return;
  }
  // The rows of windows that this holder has reported may be lost as well, and
  // those of the holder before it.
  aWindows.firstOfSuccessors_ = std::max(aWindows.firstOfSuccessors_, aWindow);
  aWindows.first_ = std::max(aWindows.first_, aWindows.claim_);
}

void
NoteClaim(ReportableWindows& aWindows,
          const LeaseRow& aRow,
          StoreEra aEra,
          std::uint64_t aWindow)
{
  const bool isOfEra =
    aRow.version_ == 0 ? IsFirstEra(aEra) : aRow.era_ == aEra;
  aWindows.claim_ = aWindow;
  aWindows.first_ = isOfEra ? aRow.firstWindow_ : aWindows.era_;
  aWindows.firstOfSuccessors_ = aWindows.first_;
}

} // namespace sycamoreward::edge
