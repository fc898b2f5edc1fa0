#include "ledger/Journal.h"

#include "base/Error.h"
#include "telemetry/Log.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr unsigned kPageRows = 100;

// Parses the rows of a page, leaving out the markers of moved rows.
std::vector<LogRow>
ParsePage(const std::vector<Row>& aRows)
{
  std::vector<LogRow> rows;
  for (const Row& row : aRows) {
    if (!IsMovedMarker(row)) {
      rows.push_back(FromTableRow(row));
    }
  }
  return rows;
}

std::optional<Outcome>
FindOutcome(const std::vector<LogRow>& aRows, const RequestId& aRequest)
{
  for (const LogRow& row : aRows) {
    if (row.entries_.find(aRequest.Value()) == std::string::npos) {
      continue;
    }
    for (const LogEntry& entry : ParseEntries(row)) {
      if (entry.kind_ == EntryKind::Outcome &&
          entry.outcome_.request_ == aRequest) {
        return entry.outcome_;
      }
    }
  }
  return std::nullopt;
}

// Sorts rows by sequence and removes duplicates.
void
SortRows(std::vector<LogRow>& aRows)
{
  const auto isLess = [](const LogRow& aLeft, const LogRow& aRight) {
    return aLeft.sequence_ < aRight.sequence_;
  };
  const auto isEqual = [](const LogRow& aLeft, const LogRow& aRight) {
    return aLeft.sequence_ == aRight.sequence_;
  };
  std::stable_sort(aRows.begin(), aRows.end(), isLess);
  aRows.erase(std::unique(aRows.begin(), aRows.end(), isEqual), aRows.end());
}

} // namespace

struct Journal::Walk
{
  std::vector<std::string> names_;
  std::size_t next_ = 0;
  std::function<bool(std::vector<LogRow>)> onSegment_;
  std::function<void(bool)> onEnd_;
};

Journal::Journal(Table& aTable, ObjectStore& aObjects)
  : table_(aTable)
  , objects_(aObjects)
{
}

void
Journal::Move(const LedgerPartition& aPartition,
              WallTime aBefore,
              const std::string& aToken,
              std::function<void(MoveReply)> aOnReply)
{
  table_.Query(PartitionName(aPartition),
               SortKey(Sequence(1)),
               kPageRows,
               [this, aPartition, aBefore, aToken, aOnReply](ReadReply aReply) {
                 if (!aReply.isOk_) {
                   aOnReply({});
                   return;
                 }
                 std::vector<LogRow> rows =
                   ChooseRowsToMove(ParsePage(aReply.rows_), aBefore);
                 if (rows.empty()) {
                   aOnReply({ true, 0 });
                   return;
                 }
                 const auto onClaims =
                   [this, aPartition, rows, aToken, aOnReply](bool aIsStored) {
                     if (aIsStored) {
                       DeleteRows(aPartition, rows, aToken, aOnReply);
                     } else {
                       aOnReply({});
                     }
                   };
                 PutAndVerify(SegmentName(aPartition, rows),
                              SegmentToText(rows),
                              [this, aPartition, rows, aOnReply, onClaims](
                                bool aIsStored) {
                                if (!aIsStored) {
                                  aOnReply({});
                                  return;
                                }
                                PutAndVerify(ClaimsName(aPartition, rows),
                                             SegmentToText(ExtractClaims(rows)),
                                             onClaims);
                              });
               });
}

// Reading the object back also covers a lost reply and an object left behind by
// an interrupted move.
void
Journal::PutAndVerify(const std::string& aName,
                      const std::string& aText,
                      std::function<void(bool)> aOnResult)
{
  const auto onRead = [aName, aText, aOnResult](ObjectStore::GetReply aReply) {
    const bool isStored =
      aReply.isOk_ && aReply.body_ && *aReply.body_ == aText;
    if (aReply.body_ && !isStored) {
      LogFor("ledger")->error(
        "The object {} differs from the rows in the table.", aName);
    }
    aOnResult(isStored);
  };
  objects_.PutNew(aName, aText, [this, aName, onRead](WriteResult) {
    objects_.Get(aName, onRead);
  });
}

void
Journal::DeleteRows(const LedgerPartition& aPartition,
                    const std::vector<LogRow>& aRows,
                    const std::string& aToken,
                    std::function<void(MoveReply)> aOnReply)
{
  const std::size_t count = aRows.size();
  table_.Write(MakeMoveWrites(aPartition, aRows),
               aToken,
               [count, aOnReply](WriteResult aResult) {
                 // If the reply was lost, the next move sees whether the rows
                 // were deleted.
                 const bool isOk = aResult == WriteResult::Committed;
                 aOnReply({ isOk, isOk ? count : 0 });
               });
}

void
Journal::WalkSegments(std::shared_ptr<Walk> aWalk)
{
  if (aWalk->next_ == aWalk->names_.size()) {
    aWalk->onEnd_(true);
    return;
  }
  const std::string name = aWalk->names_[aWalk->next_++];
  objects_.Get(name, [this, aWalk, name](ObjectStore::GetReply aReply) {
    if (!aReply.isOk_ || !aReply.body_) {
      aWalk->onEnd_(false);
      return;
    }
    try {
      if (!aWalk->onSegment_(ParseSegment(name, *aReply.body_))) {
        aWalk->onEnd_(true);
        return;
      }
    } catch (const Error& error) {
      LogFor("ledger")->error("{}", error.what());
      aWalk->onEnd_(false);
      return;
    }
    WalkSegments(aWalk);
  });
}

void
Journal::LoadClaims(const LedgerPartition& aPartition,
                    WallTime aSince,
                    std::function<void(RowsReply)> aOnReply)
{
  objects_.List(
    ClaimsPrefix(aPartition),
    [this, aSince, aOnReply](ObjectStore::ListReply aList) {
      if (!aList.isOk_) {
        aOnReply({});
        return;
      }
      auto reply = std::make_shared<RowsReply>();
      auto walk = std::make_shared<Walk>();
      walk->names_ = std::move(aList.names_);
      std::reverse(walk->names_.begin(), walk->names_.end());
      walk->onSegment_ = [reply, aSince](std::vector<LogRow> aRows) {
        const bool isOld = !aRows.empty() && aRows.front().written_ < aSince;
        reply->rows_.insert(reply->rows_.end(), aRows.begin(), aRows.end());
        return !isOld;
      };
      walk->onEnd_ = [reply, aOnReply](bool aIsOk) {
        reply->isOk_ = aIsOk;
        SortRows(reply->rows_);
        aOnReply(std::move(*reply));
      };
      WalkSegments(walk);
    });
}

void
Journal::Find(const RequestId& aRequest,
              std::function<void(Ledger::LookupReply)> aOnReply)
{
  const LedgerPartition partition = ParsePartition(aRequest);
  objects_.List(PartitionName(partition) + "/",
                [this, aRequest, aOnReply](ObjectStore::ListReply aList) {
                  auto reply = std::make_shared<Ledger::LookupReply>();
                  auto walk = std::make_shared<Walk>();
                  walk->names_ = std::move(aList.names_);
                  std::reverse(walk->names_.begin(), walk->names_.end());
                  walk->onSegment_ = [reply,
                                      aRequest](std::vector<LogRow> aRows) {
                    reply->outcome_ = FindOutcome(aRows, aRequest);
                    return !reply->outcome_;
                  };
                  walk->onEnd_ = [this, aRequest, reply, aOnReply](bool aIsOk) {
                    if (!aIsOk) {
                      reply->error_ = "The object store can't be read.";
                    } else if (!reply->outcome_) {
                      FindInTable(aRequest, SortKey(Sequence(1)), aOnReply);
                      return;
                    }
                    aOnReply(std::move(*reply));
                  };
                  if (!aList.isOk_) {
                    walk->onEnd_(false);
                    return;
                  }
                  WalkSegments(walk);
                });
}

void
Journal::FindInTable(const RequestId& aRequest,
                     const std::string& aFrom,
                     std::function<void(Ledger::LookupReply)> aOnReply)
{
  table_.Query(PartitionName(ParsePartition(aRequest)),
               aFrom,
               kPageRows,
               [this, aRequest, aOnReply](ReadReply aReply) {
                 if (!aReply.isOk_) {
                   aOnReply({ std::nullopt, "The table can't be read." });
                   return;
                 }
                 try {
                   const auto outcome =
                     FindOutcome(ParsePage(aReply.rows_), aRequest);
                   if (outcome || aReply.rows_.empty()) {
                     aOnReply({ outcome, "" });
                     return;
                   }
                 } catch (const Error& error) {
                   aOnReply({ std::nullopt, error.what() });
                   return;
                 }
                 const std::uint64_t last =
                   std::stoull(aReply.rows_.back().key_.sort_);
                 FindInTable(aRequest, SortKey(Sequence(last + 1)), aOnReply);
               });
}

void
Journal::VerifyChain(const LedgerPartition& aPartition,
                     std::function<void(VerifyReply)> aOnReply)
{
  objects_.List(
    PartitionName(aPartition) + "/",
    [this, aPartition, aOnReply](ObjectStore::ListReply aList) {
      if (!aList.isOk_) {
        aOnReply({});
        return;
      }
      auto check = std::make_shared<ChainCheck>();
      auto walk = std::make_shared<Walk>();
      walk->names_ = std::move(aList.names_);
      walk->onSegment_ = [check](std::vector<LogRow> aRows) {
        for (const LogRow& row : aRows) {
          CheckNextRow(*check, row);
        }
        return !check->report_.brokenAt_;
      };
      walk->onEnd_ = [this, check, aPartition, aOnReply](bool aIsOk) {
        if (!aIsOk || check->report_.brokenAt_) {
          aOnReply({ aIsOk, check->report_ });
          return;
        }
        WalkTable(aPartition, SortKey(Sequence(1)), check, aOnReply);
      };
      WalkSegments(walk);
    });
}

void
Journal::WalkTable(const LedgerPartition& aPartition,
                   const std::string& aFrom,
                   std::shared_ptr<ChainCheck> aCheck,
                   std::function<void(VerifyReply)> aOnReply)
{
  table_.Query(
    PartitionName(aPartition),
    aFrom,
    kPageRows,
    [this, aPartition, aCheck, aOnReply](ReadReply aReply) {
      if (!aReply.isOk_) {
        aOnReply({ false, aCheck->report_ });
        return;
      }
      try {
        for (const LogRow& row : ParsePage(aReply.rows_)) {
          CheckNextRow(*aCheck, row);
        }
      } catch (const Error& error) {
        aCheck->report_.brokenAt_ = Sequence(aCheck->report_.rows_ + 1);
        aCheck->report_.reason_ = error.what();
      }
      if (aReply.rows_.empty() || aCheck->report_.brokenAt_) {
        aOnReply({ true, aCheck->report_ });
        return;
      }
      const std::uint64_t last = std::stoull(aReply.rows_.back().key_.sort_);
      WalkTable(aPartition, SortKey(Sequence(last + 1)), aCheck, aOnReply);
    });
}

} // namespace sycamoreward
