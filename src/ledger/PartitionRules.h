#pragma once

// Rules that decide whether an entry of a partition's log takes effect.

#include "ledger/PartitionLog.h"

#include <string>
#include <vector>

namespace sycamoreward {

// Returns the name of a key in PartitionLog::keys_.
std::string
KeyName(const WorkspaceId& aWorkspace,
        const ServiceName& aService,
        const std::string& aKeyDigest);

// Returns whether the request ended as not run, which releases its key.
bool
IsWithdrawn(const RequestRecord& aRecord);

// Returns the request that holds a key and was not withdrawn, or null.
const RequestRecord*
FindHolder(const PartitionLog& aLog, const std::string& aKeyName);

// Returns the record of a request, or null if the rows do not mention it.
const RequestRecord*
FindRecord(const PartitionLog& aLog, const RequestId& aRequest);

// Returns whether the request has no outcome and one of aOwners holds its
// claim.
bool
IsOwnedByOneOf(const RequestRecord& aRecord,
               const std::vector<InstanceId>& aOwners);

// Returns whether a claim would take effect: its request was neither withdrawn
// nor claimed before and no other request holds the key, or it transfers the
// claim of a previous owner.
bool
IsClaimPossible(const PartitionLog& aLog, const Claim& aClaim);

// Returns false for a settlement of a claim that another owner holds by now.
bool
MatchesHolder(const RequestRecord& aRecord, const LogEntry& aEntry);

// Returns whether the entry can no longer take effect, given the rows.
bool
IsObsolete(const PartitionLog& aLog, const LogEntry& aEntry);

} // namespace sycamoreward
