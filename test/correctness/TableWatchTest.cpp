// The copy of a table of the store around outages of the store.

#include "edge/TableWatch.h"
#include "edge/RelayedRows.h"
#include "runtime/EventLoop.h"
#include "support/SilentStore.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <random>
#include <vector>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

// The platform counts an instance as reachable again this long after an outage.
constexpr Duration kContactTime = std::chrono::milliseconds(3000);
// Time within which a reachable instance applies a change.
constexpr Duration kApplyTime = std::chrono::milliseconds(2000);

// Advances the clock in small steps and runs the loop in each.
void
RunLoop(ManualClock& aClock, EventLoop& aLoop, Duration aTime)
{
  constexpr Duration kStep = std::chrono::milliseconds(10);
  for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
    aClock.Advance(kStep);
    aLoop.RunReady();
  }
}

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

  void RunFor(Duration aTime) { RunLoop(clock_, loop_, aTime); }

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

// Several copies of a table: the first reads the store, the others get its rows
// or read the store as well.
struct WatchedCopies
{
  explicit WatchedCopies(std::size_t aCount = 3)
    : watches_(aCount)
  {
    clock_.Advance(std::chrono::hours(1));
    for (auto& watch : watches_) {
      watch =
        std::make_unique<TableWatch>(loop_,
                                     store_,
                                     log_,
                                     TableWatchOptions{ "table" },
                                     TableWatch::Callbacks{ [] {}, nullptr });
    }
  }

  void RunFor(Duration aTime) { RunLoop(clock_, loop_, aTime); }

  // Passes the rows of one copy on to another, as a digest does.
  void Relay(std::size_t aFrom, std::size_t aTo)
  {
    Reports request;
    AddVersion(request, "table", *watches_[aTo]);
    Digest digest;
    CollectRows(request, "table", *watches_[aFrom], 1024, digest);
    EnterRows(digest, "table", *watches_[aTo]);
  }

  std::map<std::string, std::string> Values(std::size_t aIndex) const
  {
    std::map<std::string, std::string> values;
    for (const auto& [key, row] : watches_[aIndex]->Rows()) {
      values[key] = row.value_;
    }
    return values;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  SilentStore store_{ loop_ };
  std::vector<std::unique_ptr<TableWatch>> watches_;
};

// Guards against a change that is never seen because the store gave its version
// out before.
Test(TableWatch, SeesAllRowsAfterTheStoreReturnsFromACopy)
{
  WatchedCopies table;
  table.RunFor(std::chrono::seconds(1));
  table.store_.Put("a", "kept");
  const std::uint64_t copy = table.store_.Version();
  table.store_.Put("b", "lost");
  table.store_.Put("c", "lost");
  table.RunFor(std::chrono::seconds(1));
  table.store_.SetSilent(true);
  table.RunFor(std::chrono::seconds(2));
  table.store_.Restore(copy);
  table.store_.Put("d", "new");
  table.store_.Put("a", "changed");
  table.store_.Put("e", "new");
  table.store_.SetSilent(false);
  table.RunFor(kContactTime);
  cr_expect(table.Values(0) == table.store_.Values());
}

// Guards against relayed rows of an earlier era that hide later ones.
Test(TableWatch, IgnoresRelayedRowsOfAnEarlierEra)
{
  WatchedCopies table;
  table.RunFor(std::chrono::seconds(1));
  const std::uint64_t copy = table.store_.Version();
  table.store_.Put("b", "lost");
  table.store_.Put("c", "lost");
  table.RunFor(std::chrono::seconds(1));
  // The last copy gets no news from the store, but still from others.
  table.watches_[2]->SetPaused(true);
  table.store_.Restore(copy);
  table.store_.Put("d", "new");
  table.RunFor(kContactTime);
  cr_assert(table.Values(0) == table.store_.Values());
  table.Relay(2, 0);
  table.store_.Put("e", "new");
  table.RunFor(kContactTime);
  cr_expect(table.Values(0) == table.store_.Values());
  table.Relay(0, 2);
  table.RunFor(kContactTime);
  cr_expect(table.Values(2) == table.store_.Values());
}

// Guards against servers that stay unlisted after an outage: a row that was
// deleted and written again before the store answered was taken for older than
// its deletion, and dropped.
Test(TableWatch, KeepsARowThatWasDeletedAndWrittenAgainInOneReply)
{
  for (const bool isNaming : { true, false }) {
    WatchedCopies table;
    table.store_.SetNamesDeletions(isNaming);
    table.store_.Put("back", "first");
    table.store_.Put("gone", "first");
    table.RunFor(std::chrono::seconds(1));
    // This copy gets the rows from the first one.
    table.watches_[2]->SetPaused(true);
    table.store_.SetSilent(true);
    table.RunFor(std::chrono::seconds(3));
    table.store_.Remove("back");
    table.store_.Remove("gone");
    table.store_.Put("back", "second");
    table.store_.Put("other", "first");
    table.store_.SetSilent(false);
    table.RunFor(kContactTime);
    table.Relay(0, 2);
    for (std::size_t index = 0; index < table.watches_.size(); ++index) {
      cr_expect(table.Values(index) == table.store_.Values(),
                "copy %zu, versions of deletions named: %d",
                index,
                int(isNaming));
    }
  }
}

// Guards against rows that stay although they were deleted during a read of the
// table, because the copy keeps only the latest deletions.
Test(TableWatch, ReadsAgainWhenTooManyRowsAreDeletedDuringARead)
{
  constexpr int kDeletedRows = 300;
  constexpr int kLastRows = 100;
  const auto keyOf = [](const char* aPrefix, int aNumber) {
    return aPrefix + std::to_string(aNumber);
  };
  WatchedCopies table(2);
  for (int row = 0; row < kDeletedRows; ++row) {
    table.store_.Put(keyOf("early-", row), "first");
    table.store_.Put(keyOf("first-", row), "first");
  }
  for (int row = 0; row < kLastRows; ++row) {
    table.store_.Put(keyOf("last-", row), "first");
  }
  table.RunFor(std::chrono::seconds(1));
  for (int row = 0; row < kDeletedRows; ++row) {
    table.store_.Remove(keyOf("early-", row));
  }
  table.RunFor(std::chrono::seconds(1));
  // The second copy no longer knows of these deletions.
  table.watches_[1]->Reload(Duration(0));
  table.RunFor(std::chrono::seconds(1));
  table.store_.SetPageSize(1);
  table.watches_[0]->Reload(Duration(0));
  while (table.store_.LastRead() < "last-") {
    table.RunFor(std::chrono::milliseconds(10));
  }
  for (int row = 0; row < kDeletedRows; ++row) {
    table.store_.Remove(keyOf("first-", row));
  }
  table.RunFor(std::chrono::milliseconds(200));
  table.Relay(1, 0);
  table.RunFor(kContactTime);
  cr_expect_eq(table.Values(0).size(), std::size_t(kLastRows));
}

// Guards against copies that stay different from the store, whatever happens to
// it.
Test(TableWatch, CopiesFollowAStoreThatReturnsFromCopies)
{
  const bool isKept = rc::check("copies follow", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const auto below = [&](std::uint64_t aBound) { return random() % aBound; };
    const std::size_t count = below(10) == 0 ? 60 : 3 + below(6);
    WatchedCopies table(count);
    table.store_.SetNamesDeletions(below(2) == 0);
    table.store_.SetPageSize(1 + below(6));
    table.RunFor(std::chrono::milliseconds(100));
    // All but two copies only get relayed rows.
    for (std::size_t index = 2; index < count; ++index) {
      table.watches_[index]->SetPaused(true);
    }
    for (int step = 0; step < 60; ++step) {
      const std::string key(1, char('a' + below(6)));
      switch (below(10)) {
        case 0:
        case 1:
          table.store_.Remove(key);
          break;
        case 2:
          table.store_.SetSilent(below(2) == 0);
          break;
        case 3: {
          const std::uint64_t version = table.store_.Version();
          table.store_.Restore(version -
                               below(std::min<std::uint64_t>(version, 8)));
          break;
        }
        case 4:
        case 5:
          table.Relay(below(count), below(count));
          break;
        case 6:
          table.watches_[below(count)]->Reload(Duration(0));
          break;
        default:
          table.store_.Put(key, std::to_string(step));
      }
      // Several changes often reach a copy in one reply.
      if (below(2) == 0) {
        table.RunFor(std::chrono::milliseconds(below(500)));
      }
    }
    table.store_.SetSilent(false);
    table.RunFor(kContactTime);
    for (std::size_t index = 2; index < count; ++index) {
      table.Relay(0, index);
    }
    table.RunFor(std::chrono::milliseconds(500));
    for (std::size_t index = 0; index < count; ++index) {
      RC_ASSERT(table.Values(index) == table.store_.Values());
    }
  });
  cr_assert(isKept);
}
