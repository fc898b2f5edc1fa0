// Registrars that append to one partition concurrently, with lost replies and
// writes that take effect late.

#include "ledger/Chain.h"
#include "ledger/PartitionLog.h"
#include "support/MemoryTable.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace sycamoreward;

namespace {

constexpr unsigned kRegistrarCount = 3;
constexpr unsigned kKeyCount = 3;
const LedgerPartition kPartition{ RegionId("r"), PartitionId(0) };

// A write whose reply was lost and that takes effect later.
struct DelayedWrite
{
  std::vector<RowWrite> writes_;
};

// Model of registrars that share a table. Each step performs one operation at
// one of them.
struct Race
{
  MemoryTable table_;
  std::vector<PartitionLog> logs_{ kRegistrarCount };
  std::vector<DelayedWrite> delayedWrites_;
  std::vector<LogRow> segments_;
  std::vector<RegisterRequest> requests_;
  // Requests that their owner withdrew and therefore must not run.
  std::set<std::string> withdrawn_;
  // Granted requests by key. Each of them may have been sent to a server.
  std::map<std::string, std::set<std::string>> grantedByKey_;
  // The first observed outcome of each request.
  std::map<std::string, std::string> firstOutcomes_;
  std::uint64_t nextToken_ = 1;
  // False once an invariant is violated.
  bool isOk_ = true;

  Race()
  {
    for (PartitionLog& log : logs_) {
      log.partition_ = kPartition;
    }
  }

  std::vector<LogRow> TableRows()
  {
    std::vector<LogRow> rows;
    for (const auto& row : table_.rows_) {
      if (!IsMovedMarker(row.second)) {
        rows.push_back(FromTableRow(row.second));
      }
    }
    return rows;
  }

  // Reads the rows after the last applied one, or all rows if some were moved.
  void Load(PartitionLog& aLog)
  {
    std::vector<LogRow> rows = TableRows();
    const Sequence next(aLog.applied_.Value() + 1);
    if (!rows.empty() && rows.front().sequence_ > next) {
      ResetRows(aLog);
      rows.insert(rows.begin(), segments_.begin(), segments_.end());
    }
    for (const LogRow& row : rows) {
      if (row.sequence_ > aLog.applied_) {
        ApplyRow(aLog, row);
      }
    }
  }

  void Move(std::size_t aCount)
  {
    std::vector<LogRow> rows =
      ChooseRowsToMove(TableRows(), WallTime(std::chrono::hours(1)));
    rows.resize(std::min(rows.size(), aCount));
    if (!rows.empty()) {
      segments_.insert(segments_.end(), rows.begin(), rows.end());
      isOk_ = isOk_ && table_.Apply(MakeMoveWrites(kPartition, rows)) ==
                         WriteResult::Committed;
    }
  }

  bool IsChainIntact()
  {
    std::vector<LogRow> rows = segments_;
    const std::vector<LogRow> tableRows = TableRows();
    rows.insert(rows.end(), tableRows.begin(), tableRows.end());
    ChainCheck check;
    for (const LogRow& row : rows) {
      CheckNextRow(check, row);
    }
    return !check.report_.brokenAt_ && check.report_.rows_ == rows.size();
  }

  void Register(PartitionLog& aLog, unsigned aKey)
  {
    RegisterRequest request;
    request.request_ = FormatRequestId(kPartition, HexOf(requests_.size()));
    request.keyDigest_ = std::to_string(aKey);
    request.bodyDigest_ = "body";
    request.isDurable_ = true;
    request.owner_ = InstanceId("owner" + std::to_string(requests_.size()));
    requests_.push_back(request);
    Retry(aLog, request);
  }

  // The client may contact several registrars, one after another.
  void Retry(PartitionLog& aLog, const RegisterRequest& aRequest)
  {
    if (!DecideRegister(aLog, aRequest)) {
      LogEntry entry;
      entry.claim_.request_ = aRequest.request_;
      entry.claim_.keyDigest_ = aRequest.keyDigest_;
      entry.claim_.bodyDigest_ = aRequest.bodyDigest_;
      entry.claim_.owner_ = aRequest.owner_;
      AddPending(aLog, entry);
    }
  }

  void AddOutcome(PartitionLog& aLog,
                  const RegisterRequest& aRequest,
                  OutcomeKind aKind)
  {
    LogEntry entry;
    entry.kind_ = EntryKind::Outcome;
    entry.outcome_.request_ = aRequest.request_;
    entry.outcome_.keyDigest_ = aRequest.keyDigest_;
    entry.outcome_.bodyDigest_ = aRequest.bodyDigest_;
    entry.outcome_.kind_ = aKind;
    AddPending(aLog, entry);
  }

  // aDelivery: 0 applied and reply received, 1 applied and reply lost, 2 never
  // applied, 3 applied later.
  void Append(PartitionLog& aLog, unsigned aDelivery)
  {
    const auto row =
      StartAppend(aLog, std::to_string(nextToken_++), WallTime());
    if (!row) {
      return;
    }
    const auto writes = MakeAppendWrites(kPartition, *row, aLog.lastToken_);
    if (aDelivery == 3) {
      delayedWrites_.push_back({ writes });
    } else if (aDelivery < 2) {
      const WriteResult result = table_.Apply(writes);
      if (aDelivery == 0 && result == WriteResult::Committed) {
        OnAppendCommitted(aLog);
        return;
      }
    }
    OnAppendNotCommitted(aLog);
    Load(aLog);
  }

  void ApplyDelayedWrite()
  {
    if (!delayedWrites_.empty()) {
      table_.Apply(delayedWrites_.front().writes_);
      delayedWrites_.erase(delayedWrites_.begin());
    }
  }

  // Owners run a granted request unless they withdrew it before.
  void Observe(const PartitionLog& aLog)
  {
    for (const RegisterRequest& request : requests_) {
      const auto reply = DecideRegister(aLog, request);
      const std::string& id = request.request_.Value();
      if (reply && reply->status_ == RegisterStatus::Granted &&
          withdrawn_.count(id) == 0) {
        grantedByKey_[request.keyDigest_].insert(id);
      }
    }
    for (const auto& record : aLog.requests_) {
      if (record.second.outcome_) {
        const std::string text = ToString(record.second.outcome_->kind_);
        const auto recorded =
          firstOutcomes_.emplace(record.first.Value(), text).first;
        isOk_ = isOk_ && recorded->second == text;
      }
    }
    for (const auto& key : grantedByKey_) {
      isOk_ = isOk_ && key.second.size() <= 1;
    }
  }

  // A withdrawn request must never hold its key again: no owner would run it,
  // and the grant would contradict the outcome "not run" reported to the
  // caller.
  bool AreWithdrawnRequestsInactive()
  {
    PartitionLog log;
    log.partition_ = kPartition;
    Load(log);
    std::vector<LogRow> rows = segments_;
    const std::vector<LogRow> tableRows = TableRows();
    rows.insert(rows.end(), tableRows.begin(), tableRows.end());
    for (const LogRow& row : rows) {
      for (const LogEntry& entry : ParseEntries(row)) {
        if (entry.kind_ == EntryKind::Outcome &&
            entry.outcome_.kind_ == OutcomeKind::NotRun &&
            log.openClaims_.count(entry.outcome_.request_) != 0) {
          return false;
        }
      }
    }
    return true;
  }
};

// Performs one operation. aStep holds the registrar, the operation and two
// parameters of the operation.
void
Step(Race& aRace, const std::vector<unsigned>& aStep)
{
  PartitionLog& log = aRace.logs_[aStep[0] % kRegistrarCount];
  const auto& requests = aRace.requests_;
  const std::size_t chosen = requests.empty() ? 0 : aStep[2] % requests.size();
  switch (aStep[1] % 9) {
    case 0:
      aRace.Register(log, aStep[2] % kKeyCount);
      break;
    case 1:
      aRace.Append(log, aStep[3] % 4);
      break;
    case 2:
      aRace.ApplyDelayedWrite();
      break;
    case 3:
      if (!requests.empty()) {
        aRace.Retry(log, requests[chosen]);
      }
      break;
    case 4:
      // The owner gives up before it received a grant.
      if (!requests.empty()) {
        const RegisterRequest& request = requests[chosen];
        const std::string& id = request.request_.Value();
        if (aRace.grantedByKey_[request.keyDigest_].count(id) == 0) {
          aRace.withdrawn_.insert(id);
          aRace.AddOutcome(log, request, OutcomeKind::NotRun);
        }
      }
      break;
    case 5:
      if (!requests.empty()) {
        const RegisterRequest& request = requests[chosen];
        if (aRace.grantedByKey_[request.keyDigest_].count(
              request.request_.Value()) != 0) {
          aRace.AddOutcome(log, request, OutcomeKind::Completed);
        }
      }
      break;
    case 6:
      aRace.Move(1 + aStep[2] % 5);
      break;
    case 7:
      // A registrar settles the claim of an owner that it considers dead.
      if (!requests.empty() &&
          log.openClaims_.count(requests[chosen].request_) != 0) {
        aRace.AddOutcome(log, requests[chosen], OutcomeKind::Unknown);
      }
      break;
    default:
      aRace.Load(log);
  }
  aRace.Observe(log);
}

} // namespace

// Guards against two owners of one key (an unrepeatable request that runs
// twice), against outcomes that change, and against claims that take effect
// after their withdrawal.
Test(LedgerLog, ConcurrentRegistrarsGrantAKeyOnce)
{
  cr_assert(rc::check("a key runs once", [] {
    const auto size = *rc::gen::inRange<std::size_t>(20, 200);
    const auto steps = *rc::gen::container<std::vector<std::vector<unsigned>>>(
      size,
      rc::gen::container<std::vector<unsigned>>(
        4, rc::gen::inRange<unsigned>(0, 84)));
    Race race;
    for (const auto& step : steps) {
      Step(race, step);
      RC_ASSERT(race.isOk_);
    }
    while (!race.delayedWrites_.empty()) {
      race.ApplyDelayedWrite();
    }
    RC_ASSERT(race.AreWithdrawnRequestsInactive());
    RC_ASSERT(race.IsChainIntact());
  }));
}

// Guards against a registrar that was suspended while rows were moved and then
// inserts an old sequence again.
Test(LedgerLog, DelayedAppendAtMovedSequenceFails)
{
  for (unsigned rowsBefore = 0; rowsBefore < 4; ++rowsBefore) {
    Race race;
    for (unsigned round = 0; round < rowsBefore; ++round) {
      race.Register(race.logs_[0], round);
      race.Append(race.logs_[0], 0);
    }
    race.Load(race.logs_[1]);
    race.Register(race.logs_[1], 90);
    race.Append(race.logs_[1], 3);
    for (unsigned round = 0; round < 3; ++round) {
      race.Register(race.logs_[0], 10 + round);
      race.Append(race.logs_[0], 0);
    }
    race.Move(100);
    cr_assert_eq(race.TableRows().size(), 1U);
    cr_assert_eq(race.table_.Apply(race.delayedWrites_.front().writes_),
                 WriteResult::ConditionFailed,
                 "inserted again at sequence %u",
                 rowsBefore + 1);
    cr_assert(race.IsChainIntact());
  }
}
