// End-to-end tests of the ledger: registrars and clients of three instances
// that share one table.

#include "platform/PlatformStandIn.h"
#include "runtime/HttpClient.h"
#include "store/DynamoTable.h"
#include "support/LedgerCluster.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

const std::vector<std::string> kInstances{ "a", "b", "c" };

// Returns the registrar of a request.
std::string
RegistrarOf(LedgerCluster& aCluster, const RequestId& aRequest)
{
  const MemberList& members =
    aCluster.nodes_.begin()->second.membership_.Members();
  const LedgerPartition partition = ParsePartition(aRequest);
  return RankForDuty(members, PartitionName(partition), partition.region_)
    .front()
    .Value();
}

std::string
NextInstance(const std::string& aName)
{
  return aName == "a" ? "b" : aName == "b" ? "c" : "a";
}

// Creates a request whose owner is not its registrar.
RegisterRequest
RemoteRequest(LedgerCluster& aCluster, bool aIsDurable)
{
  const RegisterRequest probe = aCluster.MakeRequest("a", "key", aIsDurable);
  const std::string registrar = RegistrarOf(aCluster, probe.request_);
  return aCluster.MakeRequest(NextInstance(registrar), "key", aIsDurable);
}

} // namespace

Test(Ledger, DuplicateOfDurableClaimGetsRecordedOutcome)
{
  for (const std::string& owner : kInstances) {
    LedgerCluster cluster(kInstances);
    const auto first = cluster.MakeRequest(owner, "key", true);
    cr_assert_eq(cluster.Register(first).status_, RegisterStatus::Granted);
    cr_assert_eq(cluster.table_.rows_.size(), 1U, "the claim is not durable");
    const auto second = cluster.MakeRequest(NextInstance(owner), "key", true);
    const RegisterReply running = cluster.Register(second);
    cr_assert_eq(running.status_, RegisterStatus::Running);
    cr_assert_eq(running.owner_, first.owner_);
    auto other = cluster.MakeRequest(owner, "key", true);
    other.bodyDigest_ = "another body";
    cr_assert_eq(cluster.Register(other).status_, RegisterStatus::BodyMismatch);
    bool isDurable = false;
    cluster.Client(owner).Record(MakeOutcome(first, OutcomeKind::Completed),
                                 [&] { isDurable = true; });
    cluster.Run(std::chrono::seconds(1));
    cr_assert(isDurable);
    cr_assert_eq(cluster.Client(owner).BufferedOutcomes(), 0U);
    const RegisterReply finished =
      cluster.Register(cluster.MakeRequest(NextInstance(owner), "key", true));
    cr_assert_eq(finished.status_, RegisterStatus::Finished);
    cr_assert_eq(finished.outcome_->kind_, OutcomeKind::Completed);
    cr_assert_eq(finished.request_, first.request_);
    const auto lookup = cluster.Lookup(NextInstance(owner), first.request_);
    cr_assert_eq(lookup.outcome_->kind_, OutcomeKind::Completed);
  }
}

Test(Ledger, RepeatableDuplicatesAreDetectedWithoutTableWrites)
{
  LedgerCluster cluster(kInstances);
  const auto first = cluster.MakeRequest("a", "key", false);
  const Duration timeout = std::chrono::milliseconds(100);
  cr_assert_eq(cluster.Register(first, timeout).status_,
               RegisterStatus::Granted);
  cr_assert_eq(
    cluster.Register(cluster.MakeRequest("b", "key", false), timeout).status_,
    RegisterStatus::Running);
  cr_assert_eq(cluster.table_.writes_, 0U);
}

// Guards against a repeatable request that runs twice because its registrar
// failed.
Test(Ledger, ActiveRequestsAreReregisteredAfterRegistrarFailure)
{
  LedgerCluster cluster(kInstances);
  const auto first = RemoteRequest(cluster, false);
  const std::string registrar = RegistrarOf(cluster, first.request_);
  const std::string owner = first.owner_.Value();
  const Duration timeout = std::chrono::milliseconds(100);
  cr_assert_eq(cluster.Register(first, timeout).status_,
               RegisterStatus::Granted);
  cluster.Kill(registrar);
  cluster.Run(std::chrono::seconds(2));
  const std::string third = NextInstance(owner);
  cr_assert_eq(
    cluster.Register(cluster.MakeRequest(third, "key", false), timeout).status_,
    RegisterStatus::Running);
}

// Guards against reporting "not run" for a request whose claim is granted
// later.
Test(Ledger, UnconfirmedClaimIsWithdrawn)
{
  LedgerCluster cluster(kInstances);
  cluster.table_.isHeld_ = true;
  const auto first = RemoteRequest(cluster, true);
  const std::string owner = first.owner_.Value();
  cr_assert_eq(cluster.Register(first).status_, RegisterStatus::Unavailable);
  cluster.Client(owner).Record(MakeOutcome(first, OutcomeKind::NotRun), {});
  cluster.Run(std::chrono::milliseconds(50));
  // The claim takes effect late, and its reply is lost.
  cluster.table_.isHeld_ = false;
  cr_assert_eq(cluster.table_.held_.size(), 1U);
  cluster.table_.Apply(cluster.table_.held_.front().writes_);
  cluster.table_.held_.front().onResult_(WriteResult::Unknown);
  cluster.Run(std::chrono::seconds(2));
  cr_assert_eq(cluster.Client(owner).BufferedOutcomes(), 0U);
  cr_assert_eq(cluster.Register(first).status_, RegisterStatus::Finished);
  const auto second = cluster.MakeRequest(NextInstance(owner), "key", true);
  cr_assert_eq(cluster.Register(second).status_, RegisterStatus::Granted);
}

// Guards against an unrepeatable request that runs again after its owner died.
Test(Ledger, ClaimOfADeadOwnerIsSettledAsUnknown)
{
  LedgerCluster cluster(kInstances);
  const auto first = RemoteRequest(cluster, true);
  const std::string owner = first.owner_.Value();
  const std::string other = NextInstance(owner);
  cr_assert_eq(cluster.Register(first).status_, RegisterStatus::Granted);
  cluster.Kill(owner);
  cr_assert_eq(
    cluster.Register(cluster.MakeRequest(other, "key", true)).status_,
    RegisterStatus::Unsettled);
  cluster.Run(std::chrono::seconds(8));
  const RegisterReply reply =
    cluster.Register(cluster.MakeRequest(other, "key", true));
  cr_assert_eq(reply.status_, RegisterStatus::Finished);
  cr_assert_eq(reply.outcome_->kind_, OutcomeKind::Unknown);
  cr_assert_eq(cluster.serverQueryCount_, 1U);
}

// A suspended owner may still send a request that its server has not received
// yet. Guards against releasing the key while it can.
Test(Ledger, ClaimIsSettledAsNotRunOnlyAfterOwnerProcessEnded)
{
  for (const bool hasEnded : { false, true }) {
    LedgerCluster cluster(kInstances);
    cluster.serverAnswer_.executionStatus_ = ExecutionStatus::NotRun;
    cluster.hasOwnerEnded_ = hasEnded;
    const auto first = RemoteRequest(cluster, true);
    const std::string owner = first.owner_.Value();
    cr_assert_eq(cluster.Register(first).status_, RegisterStatus::Granted);
    cluster.Kill(owner);
    cluster.Run(std::chrono::seconds(8));
    const RegisterReply reply =
      cluster.Register(cluster.MakeRequest(NextInstance(owner), "key", true));
    cr_assert_eq(reply.status_,
                 hasEnded ? RegisterStatus::Granted : RegisterStatus::Finished);
  }
}

// Guards against a registrar that was suspended and replies from stale rows
// indefinitely, after another one has recorded the outcome.
Test(Ledger, PausedRegistrarRereadsRowsOfItsReplacement)
{
  LedgerCluster cluster(kInstances);
  const auto first = RemoteRequest(cluster, true);
  const std::string owner = first.owner_.Value();
  const std::string registrar = RegistrarOf(cluster, first.request_);
  const std::string third = NextInstance(owner) == registrar
                              ? NextInstance(registrar)
                              : NextInstance(owner);
  cr_assert_eq(cluster.Register(first).status_, RegisterStatus::Granted);
  const auto setRegistrar = [&](MemberState aState) {
    for (const std::string& other : { owner, third }) {
      cluster.nodes_.at(other).membership_.Set(InstanceId(registrar), aState);
    }
  };
  setRegistrar(MemberState::Dead);
  cluster.Client(owner).Record(MakeOutcome(first, OutcomeKind::Completed), {});
  cluster.Run(std::chrono::seconds(2));
  cr_assert_eq(cluster.Client(owner).BufferedOutcomes(), 0U);
  setRegistrar(MemberState::Live);
  cluster.Register(cluster.MakeRequest(third, "key", true));
  cluster.Run(std::chrono::seconds(2));
  cr_assert_eq(
    cluster.Register(cluster.MakeRequest(third, "key", true)).status_,
    RegisterStatus::Finished);
}

// Guards against lost outcomes when the table has a long outage and the
// registrar changes meanwhile, and against a burst of writes afterwards.
Test(Ledger, OutcomesSurviveTableOutageAndRegistrarFailover)
{
  LedgerCluster cluster(kInstances);
  cluster.table_.isDown_ = true;
  const auto probe = RemoteRequest(cluster, false);
  const std::string owner = probe.owner_.Value();
  constexpr unsigned kOutcomeCount = 200;
  unsigned durable = 0;
  std::vector<RequestId> requests;
  for (unsigned index = 0; index < kOutcomeCount; ++index) {
    const auto request = cluster.MakeRequest(owner, "", false);
    requests.push_back(request.request_);
    cluster.Client(owner).Record(MakeOutcome(request, OutcomeKind::Completed),
                                 [&] { ++durable; });
  }
  cluster.Run(std::chrono::seconds(40));
  cr_assert_eq(durable, 0U);
  cluster.Kill(RegistrarOf(cluster, probe.request_));
  cluster.Run(std::chrono::seconds(5));
  cluster.table_.isDown_ = false;
  const unsigned writesBefore = cluster.table_.writes_;
  cluster.Run(std::chrono::seconds(40));
  cr_assert_eq(durable, kOutcomeCount);
  cr_assert_eq(cluster.Client(owner).BufferedOutcomes(), 0U);
  cr_assert_leq(cluster.table_.writes_ - writesBefore,
                kPartitionsPerRegion * 3);
  cr_assert_eq(cluster.Lookup(owner, requests.back()).outcome_->kind_,
               OutcomeKind::Completed);
}

Test(Ledger, FullBufferIsReported)
{
  LedgerCluster cluster(kInstances);
  cluster.table_.isDown_ = true;
  unsigned count = 0;
  while (cluster.Client("a").HasBufferSpace() && count < 1000) {
    auto outcome =
      MakeOutcome(cluster.MakeRequest("a", "", false), OutcomeKind::Completed);
    outcome.answer_ =
      KeptAnswer{ 200, "", std::string(kMaxKeptAnswerBytes, 'x') };
    cluster.Client("a").Record(outcome, {});
    ++count;
  }
  // The buffer of 16 MiB holds outcomes of slightly more than 64 KiB.
  cr_assert_geq(count, 240U);
  cr_assert_leq(count, 256U);
}

// Guards against an entry that the table refuses and that therefore blocks its
// partition permanently.
Test(Ledger, OversizedOutcomeIsTruncatedToFitARow)
{
  LedgerCluster cluster(kInstances);
  const auto request = cluster.MakeRequest("a", "", false);
  auto outcome = MakeOutcome(request, OutcomeKind::Failed);
  outcome.evidence_ = std::string(1024 * 1024, 'x');
  outcome.answer_ = KeptAnswer{ 200, "", std::string(1024 * 1024, '\1') };
  outcome.attempts_.resize(1000);
  cluster.Client("a").Record(outcome, {});
  cluster.Run(std::chrono::seconds(1));
  cr_assert_eq(cluster.table_.rows_.size(), 1U);
  cr_assert_lt(
    cluster.table_.rows_.begin()->second.values_.at("entries").size(),
    64U * 1024);
}

// Guards against a backlog that exceeds the limit of 8 table writes a second
// per partition.
Test(Ledger, BacklogIsAppendedAtLimitedRate)
{
  LedgerCluster cluster(kInstances);
  constexpr unsigned kOutcomeCount = 100;
  unsigned durable = 0;
  for (unsigned count = 0; count < kOutcomeCount;) {
    const auto request = cluster.MakeRequest("a", "", false);
    if (ParsePartition(request.request_).partition_ == PartitionId(0)) {
      auto outcome = MakeOutcome(request, OutcomeKind::Completed);
      outcome.answer_ =
        KeptAnswer{ 200, "", std::string(kMaxKeptAnswerBytes, 'x') };
      cluster.Client("a").Record(outcome, [&] { ++durable; });
      ++count;
    }
  }
  cluster.Run(std::chrono::seconds(1));
  cr_assert_leq(cluster.table_.writes_, 9U);
  cluster.Run(std::chrono::seconds(9));
  cr_assert_eq(durable, kOutcomeCount);
}

// Guards against a claim that took effect but whose reply was lost being
// granted to a second owner or to none.
Test(Ledger, LostTableRepliesAreResolvedByReadingRows)
{
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<platform::PlatformStandIn> platform;
  LedgerCluster cluster(kInstances, [&](EventLoop& aLoop) {
    client = std::make_unique<HttpClient>(aLoop);
    platform = std::make_unique<platform::PlatformStandIn>(
      aLoop, platform::PlatformOptions{}, Address{ "127.0.0.1", 0 });
    StoreOptions options;
    options.address_ = platform->BoundAddress();
    return std::make_unique<DynamoTable>(*client, options);
  });
  const Duration timeout = std::chrono::seconds(2);
  platform->Faults().loseWriteReplies_ = 1;
  const auto first = RemoteRequest(cluster, true);
  const std::string owner = first.owner_.Value();
  cr_assert_eq(cluster.Register(first, timeout).status_,
               RegisterStatus::Granted);
  cr_assert_eq(platform->Counters().tableWrites_, 1U);
  const auto second = cluster.MakeRequest(NextInstance(owner), "key", true);
  cr_assert_eq(cluster.Register(second, timeout).status_,
               RegisterStatus::Running);
  platform->Faults().isStoreDown_ = true;
  bool isDurable = false;
  cluster.Client(owner).Record(MakeOutcome(first, OutcomeKind::Completed),
                               [&] { isDurable = true; });
  cluster.Run(std::chrono::seconds(2));
  cr_assert(!isDurable);
  platform->Faults().isStoreDown_ = false;
  platform->Faults().loseWriteReplies_ = 1;
  cluster.Run(std::chrono::seconds(8));
  cr_assert(isDurable);
  cluster.Kill(RegistrarOf(cluster, first.request_));
  cluster.Run(std::chrono::seconds(2));
  const auto third = cluster.MakeRequest(owner, "key", true);
  cr_assert_eq(cluster.Register(third, timeout).status_,
               RegisterStatus::Finished);
  client.reset();
  platform.reset();
}
