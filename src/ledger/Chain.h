#pragma once

// Checks of a partition's hash chain, and the writes that move rows out of the
// table.

#include "ledger/LogRow.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

struct ChainReport
{
  // Rows that continue the chain from row 1 on.
  std::uint64_t rows_ = 0;
  // The first row that is missing or does not continue the chain.
  std::optional<Sequence> brokenAt_;
  std::string reason_;
};

// A check in progress; rows are given in order.
struct ChainCheck
{
  ChainReport report_;
  std::string lastDigest_;
};

// Takes the next row. A row that was seen before with the same content is
// passed over, because segments can overlap when a move was interrupted. The
// last row of a chain has no successor that vouches for it.
void
CheckNextRow(ChainCheck& aCheck, const LogRow& aRow);

// The rows of aRows (in order, from the oldest in the table) that can be moved:
// older than aBefore and never the newest, because the next append is checked
// against that one. At most 90 rows and 4 MiB.
std::vector<LogRow>
ChooseRowsToMove(const std::vector<LogRow>& aRows, WallTime aBefore);

// Removes moved rows from the table, all or none, each on condition that it has
// not changed.
std::vector<RowWrite>
MakeMoveWrites(const LedgerPartition& aPartition,
               const std::vector<LogRow>& aRows);

// Name and text of the segment that holds aRows.
std::string
SegmentName(const LedgerPartition& aPartition,
            const std::vector<LogRow>& aRows);

// Name of the object that holds what ExtractClaims gives for the segment, under
// ClaimsPrefix.
std::string
ClaimsName(const LedgerPartition& aPartition, const std::vector<LogRow>& aRows);

std::string
ClaimsPrefix(const LedgerPartition& aPartition);

std::string
SegmentToText(const std::vector<LogRow>& aRows);

// Throws InternalError when the text is malformed.
std::vector<LogRow>
ParseSegment(const std::string& aName, const std::string& aText);

} // namespace sycamoreward
