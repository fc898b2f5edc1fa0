#pragma once

// Relays the copies of store tables between instances, as changes since the
// version that the receiver has.

#include "edge/TableWatch.h"
#include "peer/Messages.h"

#include <functional>
#include <string>
#include <vector>

namespace sycamoreward::edge {

// Adds the version of the copy of aTable to a request for a digest.
void
AddVersion(Reports& aRequest,
           const std::string& aTable,
           const TableWatch& aWatch);

// Adds the rows of aTable that changed after the version that aRequest names.
// Adds version 0 when the receiver has to read the table from the store, also
// when a row is larger than aMaxRowBytes.
void
CollectRows(const Reports& aRequest,
            const std::string& aTable,
            const TableWatch& aWatch,
            std::size_t aMaxRowBytes,
            Digest& aDigest);

// Applies the rows of aTable to the copy. Returns false if the digest has no
// usable copy of the table.
bool
EnterRows(const Digest& aDigest, const std::string& aTable, TableWatch& aWatch);

// Adds the version of the latest change in the copy of aTable to a report.
void
AddChange(Reports& aReport,
          const std::string& aTable,
          const TableWatch& aWatch);

// Returns whether aReport names a change of aTable that the copy lacks. A copy
// that was never read lacks nothing that others could add.
bool
IsBehind(const Reports& aReport,
         const std::string& aTable,
         const TableWatch& aWatch);

// Access to the copies of store tables that instances relay to each other.
struct RowRelay
{
  // Adds the version of each table that this instance has to a request for a
  // digest.
  std::function<void(Reports& aRequest)> addVersions_;
  // Adds to the digest the rows that changed after the versions of the request.
  // aIsMesh tells that there are few instances, of which one at a time asks.
  std::function<void(const Reports& aRequest, bool aIsMesh, Digest& aDigest)>
    collect_;
  // Applies the rows of a digest. Returns whether it has all tables.
  std::function<bool(const Digest& aDigest)> apply_;
  // Adds the latest change of each table to a report.
  std::function<void(Reports& aReport)> addChanges_;
  // Returns whether aReport names a change that this instance lacks.
  std::function<bool(const Reports& aReport)> isBehind_;
  // Returns whether this instance can't reach the store.
  std::function<bool()> isStoreUnreachable_;
  // Called when a collector did not answer, so that the rows have to be read
  // from the store.
  std::function<void()> onRowsMissing_;
};

// A table whose rows are relayed. The copy must outlive the relay.
struct RelayedTable
{
  std::string name_;
  TableWatch* watch_ = nullptr;
};

// Returns the access to the copies of aTables, without a callback for missing
// rows.
RowRelay
MakeRowRelay(const std::vector<RelayedTable>& aTables);

} // namespace sycamoreward::edge
