#include "edge/RelayedRows.h"

namespace sycamoreward::edge {

namespace {

// Larger rows are not relayed: sending the rows of a large deployment to all
// instances would occupy a collector's link for seconds.
constexpr std::size_t kMaxRelayedRowBytes = 16 * 1024;

} // namespace

void
AddVersion(Reports& aRequest,
           const std::string& aTable,
           const TableWatch& aWatch)
{
  aRequest.rowVersions_[aTable] = aWatch.Version();
}

void
CollectRows(const Reports& aRequest,
            const std::string& aTable,
            const TableWatch& aWatch,
            Digest& aDigest)
{
  const auto since = aRequest.rowVersions_.find(aTable);
  if (since == aRequest.rowVersions_.end() || aWatch.Version() == 0 ||
      aWatch.IsUnreachable()) {
    return;
  }
  std::vector<StoreRow> rows;
  aDigest.rowVersions_[aTable] = aWatch.Version();
  if (!aWatch.ChangesSince(since->second, rows)) {
    aDigest.rowVersions_[aTable] = 0;
    return;
  }
  for (const StoreRow& row : rows) {
    if (row.value_.size() > kMaxRelayedRowBytes) {
      aDigest.rowVersions_[aTable] = 0;
      break;
    }
    aDigest.rows_.push_back(
      { aTable, row.key_, row.value_, row.version_, row.isDeleted_ });
  }
}

bool
EnterRows(const Digest& aDigest, const std::string& aTable, TableWatch& aWatch)
{
  const auto version = aDigest.rowVersions_.find(aTable);
  if (version == aDigest.rowVersions_.end()) {
    return false;
  }
  if (version->second == 0) {
    aWatch.Reload(Duration(0));
    return true;
  }
  std::vector<StoreRow> rows;
  for (const RelayedRow& row : aDigest.rows_) {
    if (row.table_ == aTable) {
      rows.push_back(
        { row.table_, row.key_, row.value_, row.version_, row.isDeleted_ });
    }
  }
  aWatch.ApplyRows(rows, version->second);
  return true;
}

} // namespace sycamoreward::edge
