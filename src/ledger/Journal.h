#pragma once

// Moves older ledger rows from the table to segments in the object store, and
// reads them back.

#include "ledger/Chain.h"
#include "store/Table.h"

#include <functional>
#include <memory>

namespace sycamoreward {

// Access to the ledger rows of a table and to the segments in an object store.
// Neither is owned.
class Journal
{
public:
  Journal(Table& aTable, ObjectStore& aObjects);

  struct MoveReply
  {
    // False when a store could not be read or written. The caller should retry
    // later.
    bool isOk_ = false;
    std::size_t moved_ = 0;
  };
  // Moves at most one segment of rows written before aBefore. The segment and
  // the object with its claims are read back before any row is deleted, so that
  // an interruption at any point loses no row. aToken identifies the table
  // write and must be unique.
  void Move(const LedgerPartition& aPartition,
            WallTime aBefore,
            const std::string& aToken,
            std::function<void(MoveReply)> aOnReply);

  struct RowsReply
  {
    bool isOk_ = false;
    // Sorted by sequence, without duplicates.
    std::vector<LogRow> rows_;
  };
  // Reads the claims of moved rows written at aSince or later; older rows may
  // be included. The last row returned is the last one that was moved.
  void LoadClaims(const LedgerPartition& aPartition,
                  WallTime aSince,
                  std::function<void(RowsReply)> aOnReply);

  // Looks up the outcome of a request, first in the segments, newest first, and
  // then in the table.
  void Find(const RequestId& aRequest,
            std::function<void(Ledger::LookupReply)> aOnReply);

  struct VerifyReply
  {
    // False when a store could not be read. The report then covers only the
    // rows read so far.
    bool isOk_ = false;
    ChainReport report_;
  };
  // Verifies the whole chain of a partition, in the segments and in the table.
  void VerifyChain(const LedgerPartition& aPartition,
                   std::function<void(VerifyReply)> aOnReply);

private:
  // Calls onSegment_ with the rows of each named segment, in order, until it
  // returns false, and then calls onEnd_. onEnd_ receives false when a segment
  // could not be read.
  struct Walk;
  void WalkSegments(std::shared_ptr<Walk> aWalk);
  void WalkTable(const LedgerPartition& aPartition,
                 const std::string& aFrom,
                 std::shared_ptr<ChainCheck> aCheck,
                 std::function<void(VerifyReply)> aOnReply);
  void FindInTable(const RequestId& aRequest,
                   const std::string& aFrom,
                   std::function<void(Ledger::LookupReply)> aOnReply);
  // Stores an object and reads it back to verify its content.
  void PutAndVerify(const std::string& aName,
                    const std::string& aText,
                    std::function<void(bool)> aOnResult);
  void DeleteRows(const LedgerPartition& aPartition,
                  const std::vector<LogRow>& aRows,
                  const std::string& aToken,
                  std::function<void(MoveReply)> aOnReply);

  Table& table_;
  ObjectStore& objects_;
};

} // namespace sycamoreward
