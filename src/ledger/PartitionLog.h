#pragma once

// The state machine of one ledger partition: the state given by its rows, the
// entries that are pending, and the effect of each append result. The state
// depends only on the rows and their order, so all registrars that have read
// the same rows agree.

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

// State of one request according to the rows.
struct RequestRecord
{
  // The claim, if it took effect.
  std::optional<Claim> claim_;
  // The first outcome in the log. Later outcomes are ignored.
  std::optional<Outcome> outcome_;
};

// An entry that is not in the table yet, with its serialized text.
struct PendingEntry
{
  LogEntry entry_;
  std::string text_;
};

struct PartitionLog
{
  LedgerPartition partition_;

  // The last row that was applied; 0 and empty before the first row.
  Sequence applied_;
  std::string lastToken_;
  std::string lastDigest_;

  std::unordered_map<RequestId, RequestRecord> requests_;
  // The request that holds each key, by KeyName.
  std::unordered_map<std::string, RequestId> keys_;
  // Claimed requests that have no outcome yet.
  std::unordered_set<RequestId> openClaims_;
  // Requests in the order of their rows, used to evict old ones:
  // recentRequests_ holds those younger than kFullRecordLifetime, oldRequests_
  // the older ones that were claimed or withdrawn.
  std::deque<std::pair<WallTime, RequestId>> recentRequests_;
  std::deque<std::pair<WallTime, RequestId>> oldRequests_;

  // Entries to append, oldest first. The entries of a row in flight stay here
  // until the row is applied.
  std::deque<PendingEntry> pending_;
  std::size_t pendingBytes_ = 0;
  // Pending entries by kind and request, used to ignore duplicates.
  std::unordered_set<std::string> pendingNames_;
  std::optional<LogRow> inFlight_;
};

// No entry is added to a row beyond this size; a larger entry gets a row of its
// own. The table accepts rows of up to 400 KiB.
constexpr std::size_t kMaxRowBytes = 256 * 1024;
// Maximum total size of the pending entries.
constexpr std::size_t kMaxPendingBytes = 32 * 1024 * 1024;
// Claimed keys and withdrawals are evicted this long after their row was
// written, relative to the newest row. The idempotency keys of unrepeatable
// requests are valid for this time.
constexpr Duration kKeyLifetime = std::chrono::hours(24);
// After this time, outcomes without a claim are evicted, and kept answers are
// dropped from memory. Lookups then read the rows.
constexpr Duration kFullRecordLifetime = std::chrono::hours(1);

// Applies the next row. The first row applied may have any sequence, because
// older rows may be in the object store. Throws InternalError when the row does
// not continue the chain.
void
ApplyRow(PartitionLog& aLog, const LogRow& aRow);

// Applies a row returned by ExtractClaims, whose original was moved to the
// object store. Must be called before the first ApplyRow, on a log without
// rows.
void
ApplyOldClaims(PartitionLog& aLog, const LogRow& aRow);

// Returns the reply to a registration, or nothing if a claim must be appended
// first (durable) or the key is free (not durable).
std::optional<RegisterReply>
DecideRegister(const PartitionLog& aLog, const RegisterRequest& aRequest);

// Returns the durable claim that holds the request's key and has no outcome, or
// null.
const Claim*
FindRunningClaim(const PartitionLog& aLog, const RegisterRequest& aRequest);

// Adds a pending entry, unless the rows already make it obsolete or it is
// pending already. Returns false when kMaxPendingBytes would be exceeded.
bool
AddPending(PartitionLog& aLog, const LogEntry& aEntry);

// Drops obsolete entries and builds the next row from the oldest of the
// remaining ones. Returns nothing if no entry is pending or a row is in flight.
std::optional<LogRow>
StartAppend(PartitionLog& aLog, const std::string& aWriteToken, WallTime aNow);

// Applies the row in flight, which the table has committed.
void
OnAppendCommitted(PartitionLog& aLog);

// Clears the row in flight after a failed append or one with an unknown result;
// in the latter case, reading the rows shows whether its entries are in the
// table. Its entries stay pending. An insert whose reply was lost may still
// take effect; it then has the same sequence as the next one, and the table
// accepts only one of the two.
void
OnAppendNotCommitted(PartitionLog& aLog);

// Drops pending claims, when the registrar gives up its duty.
void
DropPendingClaims(PartitionLog& aLog);

// Clears the state given by the rows, so that they can be loaded again. Pending
// entries stay.
void
ResetRows(PartitionLog& aLog);

} // namespace sycamoreward
