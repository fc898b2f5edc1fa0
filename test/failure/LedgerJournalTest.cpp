// Tests of moving old rows to the object store, and of verifying the chain.

#include "support/LedgerCluster.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

struct FilledPartition
{
  LedgerCluster cluster_{ { "a", "b" } };
  std::vector<RegisterRequest> requests_;
  LedgerPartition partition_;
  // The rows that a move covers: all but the newest.
  std::vector<LogRow> moved_;

  // Each request adds two rows to one partition, a claim and an outcome.
  explicit FilledPartition(unsigned aRequests)
  {
    for (unsigned index = 0; requests_.size() < aRequests; ++index) {
      const auto request =
        cluster_.MakeRequest("a", "key" + std::to_string(index), true);
      const LedgerPartition partition = ParsePartition(request.request_);
      if (requests_.empty()) {
        partition_ = partition;
      }
      if (partition == partition_) {
        requests_.push_back(request);
        cluster_.Register(request, std::chrono::milliseconds(300));
        Outcome outcome = MakeOutcome(request, OutcomeKind::Completed);
        outcome.answer_ = KeptAnswer{ 200, "text/plain", "\xff answer" };
        cluster_.Client("a").Record(outcome, {});
        cluster_.Run(std::chrono::milliseconds(300));
      }
    }
    for (const auto& row : cluster_.table_.rows_) {
      moved_.push_back(FromTableRow(row.second));
    }
    moved_.pop_back();
  }

  Journal::MoveReply Move(const std::string& aToken)
  {
    Journal::MoveReply reply;
    cluster_.journal_.Move(partition_,
                           cluster_.clock_.Wall() + std::chrono::hours(1),
                           aToken,
                           [&](Journal::MoveReply aReply) { reply = aReply; });
    return reply;
  }

  Journal::VerifyReply Verify()
  {
    Journal::VerifyReply reply;
    cluster_.journal_.VerifyChain(
      partition_, [&](Journal::VerifyReply aReply) { reply = aReply; });
    return reply;
  }
};

} // namespace

// Guards against losing rows when a move is interrupted at any step.
Test(LedgerJournal, InterruptedMoveLosesNoRow)
{
  FilledPartition fixture(3);
  MemoryTable& table = fixture.cluster_.table_;
  cr_assert_eq(table.rows_.size(), 6U);
  fixture.cluster_.objects_.isDown_ = true;
  cr_assert(!fixture.Move("1").isOk_);
  cr_assert_eq(table.rows_.size(), 6U, "rows were deleted without a segment");
  fixture.cluster_.objects_.isDown_ = false;
  // The process ends between storing the segment and deleting the rows.
  table.isHeld_ = true;
  fixture.Move("2");
  table.isHeld_ = false;
  cr_assert_eq(table.rows_.size(), 6U);
  cr_assert_eq(fixture.Verify().report_.rows_, 6U);
  fixture.cluster_.objects_.loseReply_ = true;
  cr_assert_eq(fixture.Move("3").moved_, 5U);
  cr_assert_eq(
    table.rows_.size(), 2U, "expected only the newest row and the marker");
  const auto verified = fixture.Verify();
  cr_assert(verified.isOk_ && !verified.report_.brokenAt_);
  cr_assert_eq(verified.report_.rows_, 6U);
}

// Guards against running a key again after its row was moved.
Test(LedgerJournal, NewRegistrarLoadsMovedClaims)
{
  FilledPartition fixture(3);
  cr_assert_eq(fixture.Move("1").moved_, 5U);
  LedgerCluster& cluster = fixture.cluster_;
  const auto duplicate =
    cluster.MakeRequest("a", fixture.requests_[0].keyDigest_, true);
  for (const char* leaving : { "a", "b" }) {
    cluster.SetState(leaving, MemberState::Leaving);
    cluster.Run(std::chrono::seconds(1));
    const auto reply = cluster.Register(duplicate);
    cr_assert_eq(reply.status_, RegisterStatus::Finished);
    cr_assert_eq(reply.request_, fixture.requests_[0].request_);
    cr_assert_eq(reply.outcome_->answer_.value().body_, "\xff answer");
    cluster.SetState(leaving, MemberState::Live);
    cluster.Run(std::chrono::seconds(1));
  }
  std::optional<Ledger::LookupReply> found;
  cluster.journal_.Find(fixture.requests_[1].request_,
                        [&](Ledger::LookupReply aReply) { found = aReply; });
  cr_assert_eq(found->outcome_->kind_, OutcomeKind::Completed);
}

Test(LedgerJournal, ChangedOrMissingRowIsReported)
{
  FilledPartition fixture(3);
  fixture.Move("1");
  auto& segment = fixture.cluster_.objects_.objects_.at(
    SegmentName(fixture.partition_, fixture.moved_));
  const std::string original = segment;
  segment.replace(segment.find("completed"), 9, "not_run!!");
  auto report = fixture.Verify().report_;
  cr_assert(report.brokenAt_.has_value(), "a changed row was not detected");
  cr_assert_eq(report.brokenAt_->Value(), 3U);
  segment = original.substr(original.find('\n') + 1);
  report = fixture.Verify().report_;
  cr_assert_eq(report.brokenAt_.value_or(Sequence(0)), Sequence(1));
}
