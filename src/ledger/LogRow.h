#pragma once

// Rows of a partition's log and how they are stored in the table.

#include "base/Ids.h"
#include "ledger/Ledger.h"
#include "ledger/Outcome.h"
#include "ledger/Partition.h"
#include "store/Table.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// Throws UserError when the request id is malformed or belongs to another
// partition than its key, which would allow the key to be claimed twice.
void
CheckRequestId(const RegisterRequest& aRequest);

// A claim of an idempotency key for one request, or the transfer of such a
// claim to owner_.
struct Claim
{
  RequestId request_;
  WorkspaceId workspace_;
  ServiceName service_;
  std::string keyDigest_;
  std::string bodyDigest_;
  InstanceId owner_;
  // Incarnation of the owner's process when it registered; 0 if unknown.
  Incarnation ownerIncarnation_;
  // The only servers to which its owners may have sent the request. Empty in
  // rows written by versions that did not record them.
  std::vector<ServerId> servers_;
  // If one of these instances holds the claim, it is transferred. Readers that
  // do not know this field see a second claim, which has no effect.
  std::vector<InstanceId> previousOwners_;
};

// The holder of a claim when a settlement was decided.
struct ClaimHolder
{
  InstanceId owner_;
  Incarnation incarnation_;
};

enum class EntryKind
{
  Claim,
  // An outcome. NotRun also withdraws a claim, whether the claim was made
  // before or comes later.
  Outcome
};

// One entry of a row: a claim or an outcome.
struct LogEntry
{
  EntryKind kind_ = EntryKind::Claim;
  Claim claim_;
  Outcome outcome_;
  // Set for the outcome of a request whose claim took effect.
  bool isClaimed_ = false;
  // Set for an outcome that a registrar decided because the claim's owner
  // ended. It takes effect only while this owner still holds the claim.
  std::optional<ClaimHolder> settledHolder_;
};

// Larger answers are not kept in the ledger.
constexpr std::size_t kMaxKeptAnswerBytes = 64 * 1024;

// Reduces an outcome to a size that fits into a row: drops an answer above
// kMaxKeptAnswerBytes and truncates long texts and lists of attempts. An entry
// that the table refuses would block its partition permanently.
void
TruncateForRow(Outcome& aOutcome);

// Returns the id of the request that an entry refers to.
const RequestId&
RequestOf(const LogEntry& aEntry);

// One row of a partition's log, which holds a batch of entries and is chained
// to the previous row.
struct LogRow
{
  Sequence sequence_;
  std::string writeToken_;
  // RowDigest of the previous row; empty in the first row.
  std::string previousDigest_;
  WallTime written_;
  // JSON array of entries. It is kept as text so that the digest does not
  // depend on how a program version serializes JSON.
  std::string entries_;
};

std::string
EntryToText(const LogEntry& aEntry);

// Sets isClaimed_ in the text of an outcome entry.
std::string
MarkClaimed(const std::string& aEntryText);

// Throws InternalError when the text is malformed.
std::vector<LogEntry>
ParseEntries(const LogRow& aRow);

// Returns the entries that a new registrar needs for longer than the rows stay
// in the table: claims, their outcomes without answers and attempts, and
// withdrawals. Rows without such entries are left out, except the last.
std::vector<LogRow>
ExtractClaims(const std::vector<LogRow>& aRows);

// SHA-256 of all fields of a row, in hexadecimal.
std::string
RowDigest(const LogRow& aRow);

// Sort key of a row: the sequence padded to 20 digits.
std::string
SortKey(Sequence aSequence);

Row
ToTableRow(const LedgerPartition& aPartition, const LogRow& aRow);

// Throws InternalError when a value is missing or malformed.
LogRow
FromTableRow(const Row& aRow);

// Marker that replaces the first row of a partition when its content is moved
// to the object store. Other moved rows are deleted. The marker prevents a
// delayed insert of the first row from taking effect again.
Row
MakeMovedMarker(const LedgerPartition& aPartition, Sequence aSequence);

bool
IsMovedMarker(const Row& aRow);

// Returns the writes of one append: the insert of the row on condition that it
// is absent, and a check that the previous row is still in the table with the
// token that aRow was chained to. Without the check, a registrar that was
// suspended while rows were moved to the object store could insert an old
// sequence again.
std::vector<RowWrite>
MakeAppendWrites(const LedgerPartition& aPartition,
                 const LogRow& aRow,
                 const std::string& aPreviousToken);

} // namespace sycamoreward
