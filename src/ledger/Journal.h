#pragma once

// The older part of the ledger: moves rows from the table to segments in the
// object store, and reads them back.

#include "ledger/Chain.h"
#include "store/Table.h"

#include <functional>
#include <memory>

namespace sycamoreward {

class Journal
{
public:
  Journal(Table& aTable, ObjectStore& aObjects);

  struct MoveReply
  {
    // False when a store could not be read or written; try again later.
    bool isOk_ = false;
    std::size_t moved_ = 0;
  };
  // Moves up to one segment of rows written before aBefore. The segment and the
  // object with its claims are read back before any row is deleted, so that
  // none is lost at any interruption.
  // aToken names the write and must be new.
  void Move(const LedgerPartition& aPartition,
            WallTime aBefore,
            const std::string& aToken,
            std::function<void(MoveReply)> aOnReply);

  struct RowsReply
  {
    bool isOk_ = false;
    // In order, each sequence once.
    std::vector<LogRow> rows_;
  };
  // Reads the claims of moved rows that were written at aSince or later. The
  // last row is the last one that was moved.
  void LoadClaims(const LedgerPartition& aPartition,
                  WallTime aSince,
                  std::function<void(RowsReply)> aOnReply);

  // Reads the outcome of a request from segments, newest first, and then from
  // the table.
  void Find(const RequestId& aRequest,
            std::function<void(Ledger::LookupReply)> aOnReply);

  struct VerifyReply
  {
    // False when a store could not be read; the report ends there.
    bool isOk_ = false;
    ChainReport report_;
  };
  // Checks the whole chain of a partition, segments and table.
  void VerifyChain(const LedgerPartition& aPartition,
                   std::function<void(VerifyReply)> aOnReply);

private:
  // Calls aOnSegment for each name in order until it returns false, then
  // aOnEnd. aOnEnd gets false when a segment could not be read.
  struct Walk;
  void WalkSegments(std::shared_ptr<Walk> aWalk);
  void WalkTable(const LedgerPartition& aPartition,
                 const std::string& aFrom,
                 std::shared_ptr<ChainCheck> aCheck,
                 std::function<void(VerifyReply)> aOnReply);
  void FindInTable(const RequestId& aRequest,
                   const std::string& aFrom,
                   std::function<void(Ledger::LookupReply)> aOnReply);
  // Stores an object and reads it back.
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
