// Tests of claims that are transferred to a successor, and of answers that are
// too large for a row.

#include "base/Digest.h"
#include "support/LedgerCluster.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

const std::vector<std::string> kInstances{ "a", "b", "c" };

// Three instances in the roles of registrar, owner and successor. The owner has
// claimed a request.
struct ClaimTransferFixture
{
  LedgerCluster cluster_{ kInstances };
  std::string registrar_;
  std::string owner_;
  std::string successor_;
  RegisterRequest claim_;
  RegisterRequest transfer_;

  ClaimTransferFixture()
  {
    const auto probe = cluster_.MakeRequest("a", "key", true);
    const LedgerPartition partition = ParsePartition(probe.request_);
    registrar_ = RankForDuty(cluster_.nodes_.at("a").membership_.Members(),
                             PartitionName(partition),
                             partition.region_)
                   .front()
                   .Value();
    for (const std::string& name : kInstances) {
      if (name != registrar_) {
        (owner_.empty() ? owner_ : successor_) = name;
      }
    }
    claim_ = cluster_.MakeRequest(owner_, "key", true);
    claim_.servers_ = { ServerId("one") };
    transfer_ = claim_;
    transfer_.owner_ = InstanceId(successor_);
    transfer_.previousOwners_ = { InstanceId(owner_) };
    cr_assert_eq(cluster_.Register(claim_).status_, RegisterStatus::Granted);
  }
  // Ends the owner; its server reports that the request did not run.
  void EndOwner()
  {
    cluster_.serverAnswer_.executionStatus_ = ExecutionStatus::NotRun;
    cluster_.hasOwnerEnded_ = true;
    cluster_.Kill(owner_);
  }
  unsigned CountOutcomes()
  {
    unsigned count = 0;
    for (const auto& [key, row] : cluster_.table_.rows_) {
      for (const LogEntry& entry : ParseEntries(FromTableRow(row))) {
        count += entry.kind_ == EntryKind::Outcome ? 1 : 0;
      }
    }
    return count;
  }
};

} // namespace

// Guards against settling the request of a successor because the previous owner
// died.
Test(LedgerTransfer, TransferredClaimIsNotSettledWhenPreviousOwnerDies)
{
  ClaimTransferFixture fixture;
  cr_assert_eq(fixture.cluster_.Register(fixture.transfer_).status_,
               RegisterStatus::Granted);
  fixture.EndOwner();
  fixture.cluster_.Run(std::chrono::seconds(10));
  const auto other =
    fixture.cluster_.MakeRequest(fixture.registrar_, "key", true);
  const RegisterReply reply = fixture.cluster_.Register(other);
  cr_assert_eq(reply.status_, RegisterStatus::Running);
  cr_assert_eq(reply.owner_, InstanceId(fixture.successor_));
  cr_assert_eq(fixture.cluster_.serverQueryCount_, 0U);
}

// An instance cannot take over a claim without naming its current owner.
Test(LedgerTransfer, TransferRequiresNamingTheCurrentOwner)
{
  ClaimTransferFixture fixture;
  RegisterRequest wrong = fixture.transfer_;
  wrong.previousOwners_ = { InstanceId(fixture.registrar_) };
  cr_assert_eq(fixture.cluster_.Register(wrong).status_,
               RegisterStatus::Running);
}

// Guards against a successor that runs a request that was settled as not run,
// and against settling a request that the successor runs: the order of the rows
// in the table decides.
Test(LedgerTransfer, ConcurrentTransferAndSettlementGiveOneOutcome)
{
  for (const bool isTransferFirst : { false, true }) {
    ClaimTransferFixture fixture;
    LedgerCluster& cluster = fixture.cluster_;
    cluster.table_.isDown_ = true;
    std::optional<RegisterReply> reply;
    const auto transfer = [&] {
      cluster.Client(fixture.successor_)
        .Register(fixture.transfer_,
                  std::chrono::seconds(25),
                  [&](RegisterReply aReply) { reply = std::move(aReply); });
      cluster.Run(std::chrono::milliseconds(100));
    };
    if (isTransferFirst) {
      transfer();
    }
    fixture.EndOwner();
    cluster.Run(std::chrono::seconds(8));
    cr_assert_geq(cluster.serverQueryCount_, 1U);
    if (!isTransferFirst) {
      transfer();
    }
    cluster.table_.isDown_ = false;
    cluster.Run(std::chrono::seconds(10));
    cr_assert(reply.has_value());
    cr_assert_eq(reply->status_,
                 isTransferFirst ? RegisterStatus::Granted
                                 : RegisterStatus::Finished);
    cr_assert_eq(fixture.CountOutcomes(), isTransferFirst ? 0U : 1U);
    if (isTransferFirst) {
      bool isDurable = false;
      cluster.Client(fixture.successor_)
        .Record(MakeOutcome(fixture.transfer_, OutcomeKind::Completed),
                [&] { isDurable = true; });
      cluster.Run(std::chrono::seconds(2));
      cr_assert(isDurable);
      cr_assert_eq(fixture.CountOutcomes(), 1U);
    }
  }
}

// The servers of all owners must be queried to determine whether a request ran.
// Guards against losing some of them in a transfer.
Test(LedgerTransfer, TransferMergesServersOfAllOwners)
{
  PartitionLog log;
  const auto apply = [&](const Claim& aClaim) {
    LogEntry entry;
    entry.claim_ = aClaim;
    LogRow row;
    row.sequence_ = Sequence(log.applied_.Value() + 1);
    row.previousDigest_ = log.lastDigest_;
    row.entries_ = "[" + EntryToText(entry) + "]";
    ApplyRow(log, row);
  };
  Claim claim;
  claim.request_ = RequestId("r.0.1");
  claim.owner_ = InstanceId("a");
  claim.servers_ = { ServerId("one"), ServerId("two") };
  apply(claim);
  claim.owner_ = InstanceId("b");
  claim.previousOwners_ = { InstanceId("a") };
  claim.servers_ = { ServerId("three"), ServerId("two") };
  apply(claim);
  const Claim& merged = *log.requests_.at(claim.request_).claim_;
  cr_assert_eq(merged.owner_, InstanceId("b"));
  cr_assert_eq(merged.servers_.size(), 3U);
  // A row written by a version that did not record servers.
  claim.owner_ = InstanceId("c");
  claim.previousOwners_ = { InstanceId("b") };
  claim.servers_.clear();
  apply(claim);
  cr_assert(merged.servers_.empty());
}

// Guards against a repeated key that gets no answer, or a different one,
// because the first answer was too large for a row.
Test(LedgerTransfer, LargeAnswerIsReplayedByEveryInstance)
{
  for (const bool isStoreDown : { false, true }) {
    ClaimTransferFixture fixture;
    LedgerCluster& cluster = fixture.cluster_;
    cluster.objects_.isDown_ = isStoreDown;
    cluster.objects_.loseReply_ = true;
    Outcome outcome = MakeOutcome(fixture.claim_, OutcomeKind::Completed);
    const std::string body(8 * 1024 * 1024, 'x');
    outcome.answer_ = KeptAnswer{ 201, "text/plain", body };
    outcome.answerDigest_ = Sha256Hex(body);
    outcome.answerLength_ = Bytes(body.size());
    bool isDurable = false;
    cluster.Client(fixture.owner_).Record(outcome, [&] { isDurable = true; });
    cluster.Run(std::chrono::seconds(2));
    cr_assert(isDurable);
    cr_assert_eq(cluster.objects_.objects_.size(), isStoreDown ? 0U : 1U);
    for (const std::string& name : kInstances) {
      const RegisterReply reply =
        cluster.Register(cluster.MakeRequest(name, "key", true));
      if (isStoreDown) {
        cr_assert_eq(reply.status_, RegisterStatus::Unsettled);
        continue;
      }
      cr_assert_eq(reply.status_, RegisterStatus::Finished);
      cr_assert(reply.outcome_->answer_->body_ == body);
      cr_assert_eq(reply.outcome_->answer_->status_, 201);
    }
    cluster.objects_.isDown_ = false;
    const RegisterReply last =
      cluster.Register(cluster.MakeRequest(fixture.owner_, "key", true));
    cr_assert_eq(last.status_, RegisterStatus::Finished);
    cr_assert_eq(last.outcome_->answer_.has_value(), !isStoreDown);
  }
}
