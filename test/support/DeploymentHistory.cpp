#include "support/DeploymentHistory.h"

#include "ledger/Chain.h"
#include "ledger/LogRow.h"
#include "ledger/Partition.h"
#include "store/DynamoTable.h"

#include <criterion/criterion.h>

#include <set>

namespace sycamoreward {

namespace {

constexpr unsigned kMaxRows = 1000;
constexpr int kRecordSeconds = 15;

// Reads the outcomes directly from the platform's table, bypassing the system,
// and checks the hash chain.
std::vector<Outcome>
ReadLedger(Deployment& aDeployment)
{
  StoreOptions options;
  options.address_ = aDeployment.PlatformAddress();
  DynamoTable table(aDeployment.Client(), options);
  std::vector<Outcome> outcomes;
  for (std::uint32_t number = 0; number < kPartitionsPerRegion; ++number) {
    const LedgerPartition partition{ RegionId(Deployment::kRegion),
                                     PartitionId(number) };
    std::optional<ReadReply> reply;
    table.Query(PartitionName(partition), "", kMaxRows, [&](ReadReply aReply) {
      reply = std::move(aReply);
    });
    aDeployment.WaitFor([&] { return reply.has_value(); }, kRecordSeconds);
    cr_assert(reply && reply->isOk_, "the ledger can't be read");
    ChainCheck check;
    for (const Row& each : reply->rows_) {
      const LogRow row = FromTableRow(each);
      CheckNextRow(check, row);
      for (const LogEntry& entry : ParseEntries(row)) {
        if (entry.kind_ == EntryKind::Outcome) {
          outcomes.push_back(entry.outcome_);
        }
      }
    }
    cr_assert_not(check.report_.brokenAt_.has_value(),
                  "the chain is broken: %s",
                  check.report_.reason_.c_str());
  }
  return outcomes;
}

void
ReadRuns(Deployment& aDeployment, RunCounts& aRuns)
{
  for (unsigned index = 0; index < aDeployment.Engines(); ++index) {
    if (!aDeployment.IsEngineRunning(index)) {
      continue;
    }
    const auto counters =
      aDeployment.Get(aDeployment.EngineAddress(index), "/counters");
    for (const auto& [id, run] : counters.at("requests").items()) {
      aRuns[RequestId(id)] += run.at("runs").get<unsigned>();
    }
  }
  for (unsigned index = 0; index < aDeployment.Services(); ++index) {
    const auto counters =
      aDeployment.Get(aDeployment.ServiceAddress(index), "/counters");
    for (const auto& [id, runs] : counters.at("runs").items()) {
      aRuns[RequestId(id)] += runs.get<unsigned>();
    }
  }
}

bool
HasRecordsOfAll(const std::vector<CallerHistory>& aCallers,
                const std::vector<Outcome>& aLedger)
{
  std::set<RequestId> recorded;
  for (const Outcome& outcome : aLedger) {
    recorded.insert(outcome.request_);
  }
  for (const CallerHistory& caller : aCallers) {
    if (!caller.replies_.empty() && caller.replies_.back().status_ == 200 &&
        recorded.count(caller.replies_.back().request_) == 0) {
      return false;
    }
  }
  return true;
}

} // namespace

History
CollectHistory(Deployment& aDeployment, const RecordingCaller& aCaller)
{
  History history;
  history.callers_ = aCaller.Histories();
  // Outcomes of repeatable requests become durable shortly after the reply.
  aDeployment.WaitFor(
    [&] {
      history.ledger_ = ReadLedger(aDeployment);
      return HasRecordsOfAll(history.callers_, history.ledger_);
    },
    kRecordSeconds);
  ReadRuns(aDeployment, history.runs_);
  return history;
}

void
ExpectAllAnswered(Deployment& aDeployment, const RecordingCaller& aCaller)
{
  ExpectNoViolations(aDeployment, aCaller);
  for (const CallerHistory& caller : aCaller.Histories()) {
    cr_assert_eq(caller.replies_.back().status_,
                 200,
                 "%s ended with status %d",
                 caller.name_.c_str(),
                 caller.replies_.back().status_);
  }
}

void
ExpectNoViolations(Deployment& aDeployment, const RecordingCaller& aCaller)
{
  const History history = CollectHistory(aDeployment, aCaller);
  const auto findings = CheckHistory(history);
  for (const CallerHistory& caller : history.callers_) {
    std::string replies;
    for (const CallerReply& reply : caller.replies_) {
      replies += " " + std::to_string(reply.status_) + " after " +
                 std::to_string(reply.elapsed_.count()) + " us" +
                 (reply.isComplete_ ? "" : " broken") + " (" +
                 reply.request_.Value() + ")";
    }
    if (!findings.empty()) {
      cr_log_warn("%s:%s", caller.name_.c_str(), replies.c_str());
    }
  }
  for (const Finding& finding : findings) {
    cr_log_error("%s: %s: %s",
                 ToString(finding.violation_),
                 finding.request_.c_str(),
                 finding.detail_.c_str());
  }
  cr_assert(findings.empty(), "%zu violations", findings.size());
}

} // namespace sycamoreward
