#pragma once

// Verification of a partition's hash chain, and the writes that remove rows
// from the table once they are in the object store.

#include "ledger/LogRow.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// Result of verifying a hash chain.
struct ChainReport
{
  // Number of rows that form an unbroken chain from row 1.
  std::uint64_t rows_ = 0;
  // The first row that is missing or does not continue the chain.
  std::optional<Sequence> brokenAt_;
  std::string reason_;
};

// State of a verification in progress. Rows must be passed in order.
struct ChainCheck
{
  ChainReport report_;
  std::string lastDigest_;
};

// Checks the next row. A repeated row with the same content is skipped, because
// segments can overlap after an interrupted move. The last row of a chain is
// not protected, because no successor holds its digest.
void
CheckNextRow(ChainCheck& aCheck, const LogRow& aRow);

// Chooses the rows to move from aRows, which are in order and start with the
// oldest row in the table. Chosen rows were written before aBefore and never
// include the newest row, because the next append checks it. At most 90 rows
// and 4 MiB.
std::vector<LogRow>
ChooseRowsToMove(const std::vector<LogRow>& aRows, WallTime aBefore);

// Returns the writes that remove moved rows from the table, all or none, each
// on condition that the row has not changed.
std::vector<RowWrite>
MakeMoveWrites(const LedgerPartition& aPartition,
               const std::vector<LogRow>& aRows);

// Object name of the segment that holds aRows.
std::string
SegmentName(const LedgerPartition& aPartition,
            const std::vector<LogRow>& aRows);

// Name of the object that holds the result of ExtractClaims for the segment. It
// starts with ClaimsPrefix.
std::string
ClaimsName(const LedgerPartition& aPartition, const std::vector<LogRow>& aRows);

std::string
ClaimsPrefix(const LedgerPartition& aPartition);

// Serializes rows as text, one line of JSON for each row.
std::string
SegmentToText(const std::vector<LogRow>& aRows);

// Throws InternalError when the text is malformed.
std::vector<LogRow>
ParseSegment(const std::string& aName, const std::string& aText);

} // namespace sycamoreward
