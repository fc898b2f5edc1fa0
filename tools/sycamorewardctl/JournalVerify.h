#pragma once

// The command "journal verify".

#include "Options.h"

#include <ostream>

namespace sycamoreward {

// Verifies the hash chain of each partition of a region, in the object store
// and in the table, and prints a line for each. Returns 0 when all are intact
// and 1 when one is broken. Throws UserError when a store can't be read or the
// region has no rows.
int
VerifyJournal(const CtlOptions& aOptions, std::ostream& aOut);

} // namespace sycamoreward
