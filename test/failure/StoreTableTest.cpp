// Runs the store clients against the platform stand-in, with lost replies and
// outages.

#include "base/Clock.h"
#include "platform/PlatformStandIn.h"
#include "runtime/EventLoop.h"
#include "store/DynamoTable.h"
#include "store/ResolveInsert.h"
#include "store/S3ObjectStore.h"

#include <criterion/criterion.h>

#include <optional>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

struct Fixture
{
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  platform::PlatformStandIn platform_{ loop_, {}, { "127.0.0.1", 0 } };
  StoreOptions options_{ platform_.BoundAddress(),
                         "sycamoreward",
                         std::chrono::milliseconds(200) };
  DynamoTable table_{ client_, options_ };
  S3ObjectStore objects_{ client_, options_ };

  template<typename Result, typename Start>
  Result Wait(Start aStart)
  {
    std::optional<Result> result;
    aStart([&](Result aResult) { result = std::move(aResult); });
    loop_.RunUntil([&] { return result.has_value(); }, kTimeout);
    cr_assert(result.has_value(), "no result was reported");
    return *result;
  }

  WriteResult Insert(const std::string& aSort, const std::string& aToken)
  {
    RowWrite write;
    write.row_ = { { "p", aSort }, { { kWriteTokenName, aToken } } };
    write.condition_ = RowCondition::Absent;
    return Wait<WriteResult>(
      [&](auto aOnResult) { table_.Write({ write }, aToken, aOnResult); });
  }

  InsertState Resolve(const std::string& aSort, const std::string& aToken)
  {
    ResolveLimits limits;
    limits.maxReads_ = 2;
    limits.initialDelay_ = std::chrono::milliseconds(1);
    return Wait<InsertState>([&](auto aOnState) {
      ResolveInsert(table_, loop_, { "p", aSort }, aToken, limits, aOnState);
    });
  }
};

} // namespace

// Guards against treating a write that took effect as one that did not, after
// its reply was lost.
Test(StoreTable, LostReplyIsUnknownAndIsResolvedByTheToken)
{
  Fixture fixture;
  fixture.platform_.Faults().loseWriteReplies_ = 1;
  cr_assert_eq(fixture.Insert("1", "mine"), WriteResult::Unknown);
  cr_assert_eq(fixture.Resolve("1", "mine"), InsertState::Inserted);
  cr_assert_eq(fixture.Resolve("1", "other"), InsertState::LostRace);
  cr_assert_eq(fixture.Resolve("2", "mine"), InsertState::Absent);
  cr_assert_eq(fixture.Insert("1", "other"), WriteResult::ConditionFailed);
  cr_assert_eq(fixture.Insert("1", "mine"),
               WriteResult::Committed,
               "a repeated token must have no second effect");
}

Test(StoreTable, OutageIsNeverReportedAsWrittenOrNotWritten)
{
  Fixture fixture;
  fixture.platform_.Faults().isStoreDown_ = true;
  cr_assert_eq(fixture.Insert("1", "mine"), WriteResult::Unknown);
  cr_assert_eq(fixture.Resolve("1", "mine"), InsertState::Unreadable);
  fixture.platform_.Faults().isStoreDown_ = false;
  fixture.platform_.Faults().storeDelay_ = std::chrono::milliseconds(400);
  cr_assert_eq(fixture.Insert("2", "late"), WriteResult::Unknown);
  fixture.platform_.Faults().storeDelay_ = Duration(0);
  // The delayed write takes effect after the client's timeout.
  cr_assert(fixture.loop_.RunUntil(
    [&] { return fixture.platform_.Counters().tableWrites_ == 1; }, kTimeout));
  cr_assert_eq(fixture.Resolve("2", "late"), InsertState::Inserted);
}

Test(StoreTable, ThrottledWriteIsRefused)
{
  Fixture fixture;
  fixture.platform_.Faults().writesPerSecond_ = 1;
  cr_assert_eq(fixture.Insert("1", "a"), WriteResult::Committed);
  cr_assert_eq(fixture.Insert("2", "b"), WriteResult::Refused);
  cr_assert_eq(fixture.platform_.Counters().throttled_, 1U);
}

Test(StoreTable, TransactionsWriteAllOrNothing)
{
  Fixture fixture;
  cr_assert_eq(fixture.Insert("1", "a"), WriteResult::Committed);
  RowWrite check;
  check.operation_ = RowOperation::Check;
  check.row_.key_ = { "p", "1" };
  check.condition_ = RowCondition::ValueEquals;
  check.conditionName_ = kWriteTokenName;
  check.conditionValue_ = "not a";
  RowWrite put;
  put.row_ = { { "p", "2" }, { { "text", "caf\xc3\xa9" } } };
  const auto write = [&](const std::string& aToken) {
    return fixture.Wait<WriteResult>([&](auto aOnResult) {
      fixture.table_.Write({ put, check }, aToken, aOnResult);
    });
  };
  const auto query = [&] {
    return fixture.Wait<ReadReply>(
      [&](auto aOnReply) { fixture.table_.Query("p", "2", 10, aOnReply); });
  };
  cr_assert_eq(write("t1"), WriteResult::ConditionFailed);
  cr_assert(query().rows_.empty());
  check.conditionValue_ = "a";
  cr_assert_eq(write("t2"), WriteResult::Committed);
  const ReadReply rows = query();
  cr_assert(rows.isOk_);
  cr_assert_eq(rows.rows_.size(), 1U);
  cr_assert_eq(rows.rows_[0].values_.at("text"), "caf\xc3\xa9");
}

Test(StoreObjects, ObjectsAreWrittenOnceAndListedInOrder)
{
  Fixture fixture;
  const auto put = [&](const std::string& aName, const std::string& aBody) {
    return fixture.Wait<WriteResult>([&](auto aOnResult) {
      fixture.objects_.PutNew(aName, aBody, aOnResult);
    });
  };
  cr_assert_eq(put("a/2", "two"), WriteResult::Committed);
  cr_assert_eq(put("a/1", "one"), WriteResult::Committed);
  cr_assert_eq(put("b/1", "other"), WriteResult::Committed);
  cr_assert_eq(put("a/1", "changed"), WriteResult::ConditionFailed);
  const auto object = fixture.Wait<ObjectStore::GetReply>(
    [&](auto aOnReply) { fixture.objects_.Get("a/1", aOnReply); });
  cr_assert_eq(*object.body_, "one");
  const auto list = fixture.Wait<ObjectStore::ListReply>(
    [&](auto aOnReply) { fixture.objects_.List("a/", aOnReply); });
  cr_assert(list.isOk_);
  cr_assert_eq(list.names_, (std::vector<std::string>{ "a/1", "a/2" }));
}
