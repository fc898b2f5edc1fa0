// Which windows of usage a holder of the duties may report.

#include "edge/ReportableWindows.h"

#include <criterion/criterion.h>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

const StoreEra kFirst(1);
const StoreEra kSecond(2);

LeaseRow
RowOf(StoreEra aEra, std::uint64_t aFirstWindow)
{
  LeaseRow row;
  row.version_ = 7;
  row.era_ = aEra;
  row.firstWindow_ = aFirstWindow;
  return row;
}

} // namespace

// Guards against a holder that takes the row of an older copy for the whole
// truth, because the era of its first answer is the only one that it has seen.
Test(ReportableWindows, BeginWithTheWindowInWhichTheEraWasLearned)
{
  ReportableWindows windows;
  NoteEra(windows, 20, false);
  NoteClaim(windows, RowOf(kFirst, 0), kSecond, 22);
  cr_expect_eq(windows.first_, 20);
  cr_expect_eq(windows.firstOfSuccessors_, 20);
}

// A store without a lease row may be an older copy, too.
Test(ReportableWindows, AMissingRowOfALaterEraHidesReports)
{
  ReportableWindows windows;
  NoteEra(windows, 20, false);
  NoteClaim(windows, LeaseRow{}, kSecond, 22);
  cr_expect_eq(windows.first_, 20);
  NoteClaim(windows, LeaseRow{}, kFirst, 22);
  cr_expect_eq(windows.first_, 0);
}

Test(ReportableWindows, ARowOfTheEraTellsTheFirstWindow)
{
  ReportableWindows windows;
  NoteEra(windows, 20, false);
  NoteClaim(windows, RowOf(kSecond, 18), kSecond, 22);
  cr_expect_eq(windows.first_, 18);
  cr_expect_eq(windows.firstOfSuccessors_, 18);
}

// Guards against a holder that has just taken over when the store returns, and
// reports again what the holder before it had reported.
Test(ReportableWindows, AHolderThroughAReturnReportsWhatEndedUnderIt)
{
  ReportableWindows windows;
  NoteEra(windows, 10, false);
  NoteClaim(windows, RowOf(kFirst, 0), kFirst, 18);
  NoteEra(windows, 21, true);
  cr_expect_eq(windows.first_, 18);
  cr_expect_eq(windows.firstOfSuccessors_, 21);
}
