#pragma once

// Relays the copies of store tables between instances, as changes since the
// version that the receiver has.

#include "edge/TableWatch.h"
#include "peer/Messages.h"

#include <string>

namespace sycamoreward::edge {

// Adds the version of the copy of aTable to a request for a digest.
void
AddVersion(Reports& aRequest,
           const std::string& aTable,
           const TableWatch& aWatch);

// Adds the rows of aTable that changed after the version that aRequest names.
// Adds version 0 when the receiver has to read the table from the store.
void
CollectRows(const Reports& aRequest,
            const std::string& aTable,
            const TableWatch& aWatch,
            Digest& aDigest);

// Applies the rows of aTable to the copy. Returns false if the digest has no
// usable copy of the table.
bool
EnterRows(const Digest& aDigest, const std::string& aTable, TableWatch& aWatch);

} // namespace sycamoreward::edge
