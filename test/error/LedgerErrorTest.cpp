// Malformed ledger input: request ids, rows and outcomes.

#include "base/Error.h"
#include "ledger/Chain.h"
#include "ledger/OutcomeJson.h"
#include "support/LedgerCluster.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

Test(LedgerError, MalformedRequestIdsAreRejected)
{
  for (const char* text : { "",
                            "r",
                            "r.1",
                            "r.8.ab",
                            "r.11.ab",
                            ".1.ab",
                            "r.1.",
                            "r.1.xyz",
                            "r.-1.ab" }) {
    cr_assert_throw(ParsePartition(RequestId(text)), UserError);
  }
  cr_assert_throw(ParsePartition(RequestId("r.1." + std::string(1000, 'a'))),
                  UserError);
  const LedgerPartition partition = ParsePartition(RequestId("eu.west.3.0f"));
  cr_assert_eq(partition.region_, RegionId("eu.west"));
  cr_assert_eq(partition.partition_, PartitionId(3));
}

// Guards against a key that is claimed in two partitions.
Test(LedgerError, RequestIdOfAnotherPartitionIsRejected)
{
  LedgerCluster cluster({ "a" });
  auto request = cluster.MakeRequest("a", "key", true);
  const std::uint32_t other =
    (ParsePartition(request.request_).partition_.Value() + 1) %
    kPartitionsPerRegion;
  request.request_ =
    FormatRequestId({ RegionId("r"), PartitionId(other) }, "ab");
  cr_assert_throw(
    cluster.Client("a").Register(request, Duration(0), [](RegisterReply) {}),
    UserError);
}

Test(LedgerError, MalformedRowsAndOutcomesThrow)
{
  cr_assert_throw(OutcomeFromJson(nlohmann::json::object()), InternalError);
  cr_assert_throw(OutcomeFromJson(nlohmann::json(3)), InternalError);
  cr_assert_throw(ParseOutcomeKind("done"), InternalError);
  LogRow row;
  row.entries_ = "[{\"claim\":{}}]";
  cr_assert_throw(ParseEntries(row), InternalError);
  row.entries_ = "[";
  cr_assert_throw(ParseEntries(row), InternalError);
  cr_assert_throw(ParseSegment("s", "{}\n"), InternalError);
  cr_assert_throw(FromTableRow({ { "p", "x" }, {} }), InternalError);
}

Test(LedgerError, OutcomeJsonRoundTrips)
{
  for (const std::string& body :
       { std::string("caf\xc3\xa9"), std::string("\xff\x00z", 3) }) {
    Outcome outcome;
    outcome.request_ = RequestId("r.1.ab");
    outcome.kind_ = OutcomeKind::Failed;
    outcome.attempts_ = { { AttemptNumber(2),
                            ServerId("s"),
                            WallTime(Duration(7)),
                            "connection broken" } };
    outcome.answerLength_ = Bytes(body.size());
    outcome.answer_ = KeptAnswer{ 500, "text/plain", body };
    const auto json = OutcomeToJson(outcome);
    const Outcome read = OutcomeFromJson(nlohmann::json::parse(json.dump()));
    cr_assert(OutcomeToJson(read) == json);
    cr_assert(read.answer_->body_ == body);
    cr_assert_eq(read.attempts_.at(0).sent_, WallTime(Duration(7)));
  }
}
