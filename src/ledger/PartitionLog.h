#pragma once

// The state machine of one partition of the ledger: what its rows say, which
// entries wait to be appended, and what follows from the result of an append.
// The state depends only on the rows and their order, so that all registrars
// that have read the same rows agree.

#include "ledger/Ledger.h"
#include "ledger/LogRow.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sycamoreward {

// What the rows say about one request.
struct RequestRecord
{
  // The claim, when it took effect.
  std::optional<Claim> claim_;
  // The first outcome in the log; it never changes.
  std::optional<Outcome> outcome_;
};

struct PendingEntry
{
  LogEntry entry_;
  std::string text_;
};

struct PartitionLog
{
  LedgerPartition partition_;

  // Last row that was applied; 0 and empty before the first.
  Sequence applied_;
  std::string lastToken_;
  std::string lastDigest_;

  std::unordered_map<RequestId, RequestRecord> requests_;
  // Request that holds a key, by KeyName.
  std::unordered_map<std::string, RequestId> keys_;
  // Claims without outcome.
  std::unordered_set<RequestId> openClaims_;
  // Requests in the order of their rows, to forget the old ones: those younger
  // than kFullRecordLifetime, and the claimed ones after it.
  std::deque<std::pair<WallTime, RequestId>> recentRequests_;
  std::deque<std::pair<WallTime, RequestId>> oldRequests_;

  // Entries to append, oldest first. Those of a row in flight stay until the
  // row is applied.
  std::deque<PendingEntry> pending_;
  std::size_t pendingBytes_ = 0;
  // Pending entries by kind and request, so that a repeated one is not added.
  std::unordered_set<std::string> pendingNames_;
  std::optional<LogRow> inFlight_;
};

// A row closes at this size; an entry above it gets a row of its own. The table
// takes rows of up to 400 KiB.
constexpr std::size_t kMaxRowBytes = 256 * 1024;
// Bound on the entries that wait for the table.
constexpr std::size_t kMaxPendingBytes = 32 * 1024 * 1024;
// Claimed keys and withdrawals are forgotten this long after their row was
// written, as counted at the newest row. The idempotency keys of unrepeatable
// requests are valid for this time.
constexpr Duration kKeyLifetime = std::chrono::hours(24);
// Outcomes without claim are forgotten after this time, and kept answers are
// dropped from memory; lookups then read the rows.
constexpr Duration kFullRecordLifetime = std::chrono::hours(1);

// Applies the row after the last one. A first row of any sequence is accepted,
// because older ones may be in the object store. Throws InternalError when the
// row does not continue the chain.
void
ApplyRow(PartitionLog& aLog, const LogRow& aRow);

// Applies what ExtractClaims kept of a row that was moved to the object store.
// To be called on a log without rows, before the first ApplyRow.
void
ApplyOldClaims(PartitionLog& aLog, const LogRow& aRow);

// The reply to a registration, or empty when a claim has to be appended first
// (durable) or the key is free (not durable).
std::optional<RegisterReply>
DecideRegister(const PartitionLog& aLog, const RegisterRequest& aRequest);

// The durable claim that holds the request's key and has no outcome, if any.
const Claim*
FindRunningClaim(const PartitionLog& aLog, const RegisterRequest& aRequest);

// Adds an entry unless the log or the pending entries have it already. False
// when there is no room.
bool
AddPending(PartitionLog& aLog, const LogEntry& aEntry);

// Drops entries that the rows have settled and forms the next row from the
// oldest others. Empty when nothing is pending or a row is in flight.
std::optional<LogRow>
StartAppend(PartitionLog& aLog, const std::string& aWriteToken, WallTime aNow);

// The row in flight is in the table.
void
OnAppendCommitted(PartitionLog& aLog);

// The row in flight is not in the table, or its entries are found by reading
// the rows. Its entries stay pending. An insert whose reply was lost may still
// take effect; it then has the same sequence as the next one, and the table
// accepts only one of the two.
void
OnAppendNotCommitted(PartitionLog& aLog);

// Drops pending claims, for a registrar that gave its duty up.
void
DropPendingClaims(PartitionLog& aLog);

// Forgets what the rows said, to load them again. Pending entries stay.
void
ResetRows(PartitionLog& aLog);

} // namespace sycamoreward
