// The copy of a table of the store around outages of the store.

#include "edge/TableWatch.h"
#include "runtime/EventLoop.h"
#include "support/SilentStore.h"

#include <criterion/criterion.h>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

// The platform counts an instance as reachable again this long after an outage.
constexpr Duration kContactTime = std::chrono::milliseconds(3000);
// Time within which a reachable instance applies a change.
constexpr Duration kApplyTime = std::chrono::milliseconds(2000);

struct WatchedTable
{
  explicit WatchedTable(bool aIsFilled = true)
  {
    clock_.Advance(std::chrono::hours(1));
    if (aIsFilled) {
      store_.Put("row", "first");
    }
  }

  void Start()
  {
    watch_ = std::make_unique<TableWatch>(
      loop_,
      store_,
      log_,
      TableWatchOptions{ "table" },
      TableWatch::Callbacks{ [] {}, [](Duration) {} });
  }

  void RunFor(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      loop_.RunReady();
    }
  }

  // Returns the time until the copy has aValue, at most aLimit.
  Duration TimeUntil(const std::string& aValue, Duration aLimit)
  {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    Duration passed{ 0 };
    while (passed < aLimit) {
      const auto row = watch_->Rows().find("row");
      if (row != watch_->Rows().end() && row->second.value_ == aValue) {
        break;
      }
      RunFor(kStep);
      passed += kStep;
    }
    return passed;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  SilentStore store_{ loop_ };
  std::unique_ptr<TableWatch> watch_;
};

// Returns the longest time from the return of the store, less the time that the
// platform allows, until a change made aChangeDelay after the return is known.
Duration
LongestExcess(Duration aChangeDelay, bool aIsStarting)
{
  Duration longest = -kContactTime;
  for (int phase = 0; phase < 4; ++phase) {
    for (int length = 500; length <= 12000; length += 350) {
      WatchedTable table;
      if (!aIsStarting) {
        table.Start();
      }
      table.RunFor(std::chrono::milliseconds(1000 + phase * 630));
      table.store_.SetSilent(true);
      if (aIsStarting) {
        table.Start();
      }
      table.RunFor(std::chrono::milliseconds(length));
      table.store_.SetSilent(false);
      table.RunFor(aChangeDelay);
      table.store_.Put("row", "second");
      const Duration allowed =
        std::max(kApplyTime, kContactTime - aChangeDelay);
      const Duration taken =
        table.TimeUntil("second", std::chrono::seconds(10));
      longest = std::max(longest, taken - allowed);
    }
  }
  return longest;
}

} // namespace

// Guards against a revision that is not in force in time after an outage. A
// call that the store never answered kept the instance from noticing that the
// store was back for up to 3.4 s.
Test(TableWatch, AppliesARevisionInTimeAfterAnOutage)
{
  for (const int delay : { 0, 250, 500, 1000, 2000 }) {
    const Duration excess =
      LongestExcess(std::chrono::milliseconds(delay), false);
    cr_expect_leq(excess.count(), 0, "changed %d ms after the return", delay);
  }
}

Test(TableWatch, ReadsTheTableInTimeWhenItStartsDuringAnOutage)
{
  const Duration excess = LongestExcess(Duration(0), true);
  cr_expect_leq(excess.count(), 0);
}

// Calls are priced: an unreachable store is asked once a second at most, and
// one without changes every two seconds.
Test(TableWatch, AsksAnUnreachableStoreRarely)
{
  WatchedTable table;
  table.Start();
  table.RunFor(std::chrono::seconds(20));
  cr_expect_leq(table.store_.Calls(), 2 + 10);
  const std::uint64_t before = table.store_.Calls();
  table.store_.SetSilent(true);
  table.RunFor(std::chrono::seconds(30));
  cr_expect_leq(table.store_.Calls() - before, 30);
}
