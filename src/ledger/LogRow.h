#pragma once

// Rows of a partition's log and their form in the table.

#include "base/Ids.h"
#include "ledger/Ledger.h"
#include "ledger/Outcome.h"
#include "ledger/Partition.h"
#include "store/Table.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// Throws UserError when the request's id is malformed or names another
// partition than its key does, which would let the key be claimed twice.
void
CheckRequestId(const RegisterRequest& aRequest);

// A claim of a key for one request, or the transfer of such a claim to owner_.
struct Claim
{
  RequestId request_;
  WorkspaceId workspace_;
  ServiceName service_;
  std::string keyDigest_;
  std::string bodyDigest_;
  InstanceId owner_;
  // Of the owner's process when it asked; 0 when not known.
  Incarnation ownerIncarnation_;
  // The only servers that its owners may have sent the request to. Empty in
  // rows of versions that did not name them.
  std::vector<ServerId> servers_;
  // A claim that one of these holds is transferred. Readers that don't know the
  // field see a second claim, which has no effect.
  std::vector<InstanceId> previousOwners_;
};

// The holder of a claim at the time of a settlement.
struct ClaimHolder
{
  InstanceId owner_;
  Incarnation incarnation_;
};

enum class EntryKind
{
  Claim,
  // An outcome. NotRun also withdraws a claim, before or after it was made.
  Outcome
};

struct LogEntry
{
  EntryKind kind_ = EntryKind::Claim;
  Claim claim_;
  Outcome outcome_;
  // An outcome of a request whose claim took effect.
  bool isClaimed_ = false;
  // Of an outcome that a registrar concluded from the end of the claim's owner:
  // it counts only while this owner holds the claim.
  std::optional<ClaimHolder> settledHolder_;
};

// Answers above this size are not kept in the ledger.
constexpr std::size_t kMaxKeptAnswerBytes = 64 * 1024;

// Brings an outcome to a size that fits into a row: drops an answer above
// kMaxKeptAnswerBytes and cuts long texts and lists of attempts. An entry that
// the table refused would hold up its partition for good.
void
TruncateForRow(Outcome& aOutcome);

// The request that an entry is about.
const RequestId&
RequestOf(const LogEntry& aEntry);

struct LogRow
{
  Sequence sequence_;
  std::string writeToken_;
  // Digest of the row before; empty in the first row.
  std::string previousDigest_;
  WallTime written_;
  // JSON array of entries, kept as text so that the digest does not depend on
  // how a version of the program writes JSON.
  std::string entries_;
};

std::string
EntryToText(const LogEntry& aEntry);

// Adds isClaimed_ to the text of an outcome.
std::string
MarkClaimed(const std::string& aEntryText);

// Throws InternalError when the text is malformed.
std::vector<LogEntry>
ParseEntries(const LogRow& aRow);

// The part of aRows that the next registrar needs for longer than the rows are
// in the table: claims, their outcomes without answers, and withdrawals. Rows
// without such entries are left out, but for the last.
std::vector<LogRow>
ExtractClaims(const std::vector<LogRow>& aRows);

// SHA-256 over all fields of a row.
std::string
RowDigest(const LogRow& aRow);

// Sort key of a row: the sequence in 20 digits.
std::string
SortKey(Sequence aSequence);

Row
ToTableRow(const LedgerPartition& aPartition, const LogRow& aRow);

// Throws InternalError when a value is missing or malformed.
LogRow
FromTableRow(const Row& aRow);

// A row whose content was moved to the object store is deleted, but for the
// first row of a partition: a marker takes its place, so that the insert of the
// first row can't take effect again.
Row
MakeMovedMarker(const LedgerPartition& aPartition, Sequence aSequence);

bool
IsMovedMarker(const Row& aRow);

// The writes of one append: the insert of the row on condition that it is
// absent, and a check that the row before is still in the table with the token
// that aRow was chained to. Without the check, a registrar that slept while
// rows were moved to the object store could insert an old sequence again.
std::vector<RowWrite>
MakeAppendWrites(const LedgerPartition& aPartition,
                 const LogRow& aRow,
                 const std::string& aPreviousToken);

} // namespace sycamoreward
