#include "ledger/Chain.h"

#include "base/Error.h"
#include "store/ResolveInsert.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// A table transaction is limited to 100 items.
constexpr std::size_t kMaxMovedRows = 90;
constexpr std::size_t kMaxSegmentBytes = 4 * 1024 * 1024;

void
ReportBreak(ChainCheck& aCheck, Sequence aSequence, const std::string& aReason)
{
  aCheck.report_.brokenAt_ = aSequence;
  aCheck.report_.reason_ = aReason;
}

} // namespace

void
CheckNextRow(ChainCheck& aCheck, const LogRow& aRow)
{
  ChainReport& report = aCheck.report_;
  if (report.brokenAt_) {
    return;
  }
  const std::string digest = RowDigest(aRow);
  const Sequence expected(report.rows_ + 1);
  if (aRow.sequence_ < expected) {
    if (aRow.sequence_.Value() == report.rows_ &&
        digest != aCheck.lastDigest_) {
      ReportBreak(
        aCheck, aRow.sequence_, "two different rows have this sequence");
    }
    return;
  }
  if (aRow.sequence_ != expected) {
    ReportBreak(aCheck, expected, "the row is missing");
    return;
  }
  if (aRow.previousDigest_ != aCheck.lastDigest_) {
    // Either this row or the previous one may have been changed.
    ReportBreak(
      aCheck, expected, "the digest of the row before does not match");
    return;
  }
  ++report.rows_;
  aCheck.lastDigest_ = digest;
}

std::vector<LogRow>
ChooseRowsToMove(const std::vector<LogRow>& aRows, WallTime aBefore)
{
  std::vector<LogRow> chosen;
  std::size_t bytes = 0;
  for (std::size_t index = 0; index + 1 < aRows.size(); ++index) {
    const LogRow& row = aRows[index];
    bytes += row.entries_.size();
    if (row.written_ >= aBefore || chosen.size() == kMaxMovedRows ||
        (bytes > kMaxSegmentBytes && !chosen.empty())) {
      break;
    }
    chosen.push_back(row);
  }
  return chosen;
}

std::vector<RowWrite>
MakeMoveWrites(const LedgerPartition& aPartition,
               const std::vector<LogRow>& aRows)
{
  std::vector<RowWrite> writes;
  for (const LogRow& row : aRows) {
    RowWrite write;
    write.condition_ = RowCondition::ValueEquals;
    write.conditionName_ = kWriteTokenName;
    write.conditionValue_ = row.writeToken_;
    if (row.sequence_ == Sequence(1)) {
      write.row_ = MakeMovedMarker(aPartition, row.sequence_);
    } else {
      write.operation_ = RowOperation::Delete;
      write.row_.key_ = { PartitionName(aPartition), SortKey(row.sequence_) };
    }
    writes.push_back(write);
  }
  return writes;
}

std::string
SegmentName(const LedgerPartition& aPartition, const std::vector<LogRow>& aRows)
{
  return PartitionName(aPartition) + "/" + SortKey(aRows.front().sequence_) +
         "-" + SortKey(aRows.back().sequence_);
}

std::string
ClaimsPrefix(const LedgerPartition& aPartition)
{
  return "claims/" + PartitionName(aPartition) + "/";
}

std::string
ClaimsName(const LedgerPartition& aPartition, const std::vector<LogRow>& aRows)
{
  return "claims/" + SegmentName(aPartition, aRows);
}

std::string
SegmentToText(const std::vector<LogRow>& aRows)
{
  std::string text;
  for (const LogRow& row : aRows) {
    const Json json = { { "sequence", row.sequence_.Value() },
                        { "writeToken", row.writeToken_ },
                        { "previous", row.previousDigest_ },
                        { "writtenUs",
                          row.written_.time_since_epoch().count() },
                        { "entries", row.entries_ } };
    text += json.dump() + "\n";
  }
  return text;
}

std::vector<LogRow>
ParseSegment(const std::string& aName, const std::string& aText)
{
  std::vector<LogRow> rows;
  try {
    std::size_t start = 0;
    while (start < aText.size()) {
      const std::size_t end = aText.find('\n', start);
      const Json json = Json::parse(aText.substr(start, end - start));
      LogRow row;
      row.sequence_ = Sequence(json.at("sequence").get<std::uint64_t>());
      row.writeToken_ = json.at("writeToken").get<std::string>();
      row.previousDigest_ = json.at("previous").get<std::string>();
      row.written_ =
        WallTime(Duration(json.at("writtenUs").get<std::int64_t>()));
      row.entries_ = json.at("entries").get<std::string>();
      rows.push_back(std::move(row));
      if (end == std::string::npos) {
        break;
      }
      start = end + 1;
    }
  } catch (const Json::exception& error) {
    throw InternalError("load ledger",
                        "",
                        "The segment " + aName +
                          " is malformed: " + error.what());
  }
  return rows;
}

} // namespace sycamoreward
