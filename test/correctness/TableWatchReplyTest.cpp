// Replies of the store to a watched table that arrive after rows which other
// instances have relayed.

#include "edge/TableWatch.h"
#include "runtime/EventLoop.h"

#include <criterion/criterion.h>

#include <list>
#include <memory>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

const StoreEra kEra(1);

StoreRow
Row(const std::string& aKey,
    const std::string& aValue,
    std::uint64_t aVersion,
    bool aIsDeleted = false)
{
  return { "table", aKey, aValue, aVersion, aIsDeleted };
}

// A store whose calls the test answers.
class HeldStore final : public RowStore
{
public:
  void Read(const std::string& /*aTable*/,
            const std::string& /*aAfter*/,
            OnReply aOnReply) override
  {
    ++reads_;
    calls_.push_back(std::move(aOnReply));
  }
  void Watch(const std::string& /*aTable*/,
             std::uint64_t /*aVersion*/,
             Duration /*aWait*/,
             OnReply aOnReply) override
  {
    calls_.push_back(std::move(aOnReply));
  }
  void Write(const StoreWrite& /*aWrite*/, OnReply /*aOnReply*/) override {}

  // Answers the oldest call.
  void Answer(const std::vector<StoreRow>& aRows, std::uint64_t aVersion)
  {
    const OnReply onReply = std::move(calls_.front());
    calls_.pop_front();
    onReply({ StoreStatus::Ok, aRows, aVersion, false, kEra });
  }

  std::list<OnReply> calls_;
  int reads_ = 0;
};

// A copy that has read row "a" at version 1 and waits for changes.
struct WaitingCopy
{
  WaitingCopy()
  {
    clock_.Advance(std::chrono::hours(1));
    watch_ = std::make_unique<TableWatch>(loop_,
                                          store_,
                                          log_,
                                          TableWatchOptions{ "table" },
                                          TableWatch::Callbacks{ [] {}, {} });
    store_.Answer({ Row("a", "first", 1) }, 1);
    RunFor(std::chrono::milliseconds(200));
  }

  void RunFor(Duration aTime)
  {
    clock_.Advance(aTime);
    loop_.RunReady();
  }

  void Relay(const StoreRow& aRow)
  {
    watch_->ApplyRows({ aRow }, { kEra, aRow.version_ });
  }

  std::string Value() const
  {
    const auto row = watch_->Rows().find("a");
    return row == watch_->Rows().end() ? "none" : row->second.value_;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  HeldStore store_;
  std::unique_ptr<TableWatch> watch_;
};

} // namespace

// Guards against a change that is undone for good: the reply to a watch was
// made before the relayed row.
Test(TableWatchReply, AnOlderReplyDoesNotReplaceARelayedRow)
{
  WaitingCopy copy;
  copy.Relay(Row("a", "third", 3));
  copy.store_.Answer({ Row("a", "second", 2) }, 2);
  cr_expect_eq(copy.Value(), "third");
}

Test(TableWatchReply, AnOlderReplyDoesNotBringBackADeletedRow)
{
  WaitingCopy copy;
  copy.Relay(Row("a", "", 3, true));
  copy.store_.Answer({ Row("a", "second", 2) }, 2);
  cr_expect_eq(copy.Value(), "none");
}

// Guards against the same where the whole table is read again.
Test(TableWatchReply, AnOlderReadDoesNotReplaceRelayedRows)
{
  WaitingCopy copy;
  copy.watch_->Reload(Duration(0));
  copy.RunFor(std::chrono::milliseconds(1));
  copy.Relay(Row("a", "", 3, true));
  copy.Relay(Row("b", "new", 4));
  copy.store_.calls_.pop_front();
  copy.store_.Answer({ Row("a", "second", 2), Row("c", "kept", 2) }, 2);
  cr_expect_eq(copy.Value(), "none");
  cr_expect_eq(copy.watch_->Rows().count("b"), 1);
  cr_expect_eq(copy.watch_->Rows().count("c"), 1);
  cr_expect_eq(copy.watch_->Version().number_, 4);
}

// Guards against an instance that reads a table again and again and never has
// it: each digest without the rows dropped the read in progress.
Test(TableWatchReply, AReadInProgressIsNotBegunAgain)
{
  WaitingCopy copy;
  copy.store_.calls_.clear();
  for (int digest = 0; digest < 4; ++digest) {
    copy.watch_->Reload(Duration(0));
    copy.RunFor(std::chrono::milliseconds(300));
  }
  cr_assert_eq(copy.store_.reads_, 2);
  copy.store_.Answer({ Row("a", "second", 2) }, 2);
  cr_expect_eq(copy.Value(), "second");
}

// Guards against a copy that stays old because a pause dropped its read.
Test(TableWatchReply, APauseDoesNotDropARead)
{
  WaitingCopy copy;
  copy.store_.calls_.clear();
  copy.watch_->Reload(std::chrono::milliseconds(100));
  copy.watch_->SetPaused(true);
  copy.RunFor(std::chrono::milliseconds(100));
  cr_assert_eq(copy.store_.reads_, 2);
  copy.watch_->SetPaused(false);
  copy.watch_->SetPaused(true);
  copy.store_.Answer({ Row("a", "second", 2) }, 2);
  cr_expect_eq(copy.Value(), "second");
}
