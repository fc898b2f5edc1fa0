#pragma once

// The rules by which entries of a partition's log take effect.

#include "ledger/PartitionLog.h"

#include <string>
#include <vector>

namespace sycamoreward {

// Name of a key in PartitionLog::keys_.
std::string
KeyName(const WorkspaceId& aWorkspace,
        const ServiceName& aService,
        const std::string& aKeyDigest);

// Whether the request ended as not run, which leaves its key free.
bool
IsWithdrawn(const RequestRecord& aRecord);

// The request that holds a key and was not withdrawn, or null.
const RequestRecord*
FindHolder(const PartitionLog& aLog, const std::string& aKeyName);

// Null when the rows say nothing about the request.
const RequestRecord*
FindRecord(const PartitionLog& aLog, const RequestId& aRequest);

// Whether one of aOwners holds the claim of a request without outcome.
bool
IsOwnedByOneOf(const RequestRecord& aRecord,
               const std::vector<InstanceId>& aOwners);

// A claim takes effect when its request was not withdrawn or claimed before
// and no other request holds the key, or when it takes over the claim of an
// earlier owner.
bool
IsClaimPossible(const PartitionLog& aLog, const Claim& aClaim);

// False for a settlement of a claim that another owner holds by now.
bool
MatchesHolder(const RequestRecord& aRecord, const LogEntry& aEntry);

// Whether the rows decide already that the entry has no effect.
bool
IsObsolete(const PartitionLog& aLog, const LogEntry& aEntry);

} // namespace sycamoreward
