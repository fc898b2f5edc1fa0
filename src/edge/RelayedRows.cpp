#include "edge/RelayedRows.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A sender that names no era is an instance of an earlier build, or the store
// has none.
StoreEra
EraOf(const std::map<std::string, std::uint64_t>& aEras,
      const std::string& aTable)
{
  const auto found = aEras.find(aTable);
  return StoreEra(found == aEras.end() ? 0 : found->second);
}

// Larger rows are not relayed by collectors: sending the rows of a large
// deployment to all instances would occupy a collector's link for seconds.
constexpr std::size_t kMaxCollectorRowBytes = 16 * 1024;
// The same between few instances. The platform's rows are at most this large.
constexpr std::size_t kMaxMeshRowBytes = 64 * 1024;

} // namespace

void
AddVersion(Reports& aRequest,
           const std::string& aTable,
           const TableWatch& aWatch)
{
  aRequest.rowVersions_[aTable] = aWatch.Version().number_;
  aRequest.rowEras_[aTable] = aWatch.Version().era_.Value();
}

void
CollectRows(const Reports& aRequest,
            const std::string& aTable,
            const TableWatch& aWatch,
            std::size_t aMaxRowBytes,
            Digest& aDigest)
{
  const auto since = aRequest.rowVersions_.find(aTable);
  const StoreVersion own = aWatch.Version();
  if (since == aRequest.rowVersions_.end() || own.number_ == 0 ||
      aWatch.IsUnreachable()) {
    return;
  }
  std::vector<StoreRow> rows;
  aDigest.rowVersions_[aTable] = own.number_;
  aDigest.rowEras_[aTable] = own.era_.Value();
  const StoreVersion known{ EraOf(aRequest.rowEras_, aTable), since->second };
  if (!aWatch.ChangesSince(known, rows)) {
    aDigest.rowVersions_[aTable] = 0;
    return;
  }
  for (const StoreRow& row : rows) {
    if (row.value_.size() > aMaxRowBytes) {
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
  const StoreEra era = EraOf(aDigest.rowEras_, aTable);
  if (era < aWatch.Version().era_) {
    // The sender has not noticed yet that the store has returned from a copy.
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
  aWatch.ApplyRows(rows, { era, version->second });
  return true;
}

void
AddChange(Reports& aReport, const std::string& aTable, const TableWatch& aWatch)
{
  const StoreVersion change = aWatch.LatestChange();
  aReport.changeVersions_[aTable] = change.number_;
  aReport.changeEras_[aTable] = change.era_.Value();
}

bool
IsBehind(const Reports& aReport,
         const std::string& aTable,
         const TableWatch& aWatch)
{
  const auto change = aReport.changeVersions_.find(aTable);
  if (change == aReport.changeVersions_.end() || !aWatch.HasSnapshot()) {
    return false;
  }
  const StoreVersion own = aWatch.Version();
  const StoreEra era = EraOf(aReport.changeEras_, aTable);
  return era > own.era_ || (era == own.era_ && change->second > own.number_);
}

RowRelay
MakeRowRelay(const std::vector<RelayedTable>& aTables)
{
  RowRelay relay;
  relay.addVersions_ = [aTables](Reports& aRequest) {
    for (const RelayedTable& table : aTables) {
      AddVersion(aRequest, table.name_, *table.watch_);
    }
  };
  relay.collect_ =
    [aTables](const Reports& aRequest, bool aIsMesh, Digest& aDigest) {
      const std::size_t maxRowBytes =
        aIsMesh ? kMaxMeshRowBytes : kMaxCollectorRowBytes;
      for (const RelayedTable& table : aTables) {
        CollectRows(aRequest, table.name_, *table.watch_, maxRowBytes, aDigest);
      }
    };
  relay.apply_ = [aTables](const Digest& aDigest) {
    bool hasAll = true;
    for (const RelayedTable& table : aTables) {
      hasAll = EnterRows(aDigest, table.name_, *table.watch_) && hasAll;
    }
    return hasAll;
  };
  relay.addChanges_ = [aTables](Reports& aReport) {
    for (const RelayedTable& table : aTables) {
      AddChange(aReport, table.name_, *table.watch_);
    }
  };
  relay.isBehind_ = [aTables](const Reports& aReport) {
    return std::any_of(
      aTables.begin(), aTables.end(), [&](const RelayedTable& aTable) {
        return IsBehind(aReport, aTable.name_, *aTable.watch_);
      });
  };
  relay.isStoreUnreachable_ = [aTables] {
    return std::any_of(
      aTables.begin(), aTables.end(), [](const RelayedTable& aTable) {
        return aTable.watch_->IsUnreachable();
      });
  };
  return relay;
}

} // namespace sycamoreward::edge
