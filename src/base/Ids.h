#pragma once

// Ids and counters used by several components.

#include "base/StrongType.h"

#include <cstdint>
#include <string>

namespace sycamoreward {

// Id of an entry instance or of the instance of a backend server, as assigned
// by the platform.
using InstanceId = StrongType<struct InstanceIdTag, std::string>;

// Distinguishes successive runs of an instance. Initially the wall time in
// milliseconds at the start of the process; an instance that refutes a wrong
// failure suspicion increases it by one.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// A zone whose instances can all be lost at once.
using FailureDomainId = StrongType<struct FailureDomainIdTag, std::string>;

// A group of failure domains with low network latency between them.
using RegionId = StrongType<struct RegionIdTag, std::string>;

// A customer of the system, with a share of the capacity.
using WorkspaceId = StrongType<struct WorkspaceIdTag, std::string>;

// Name of a Service resource.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;

// A backend server: an engine or a server of a plain service.
using ServerId = StrongType<struct ServerIdTag, std::string>;

// A set of backend servers that serve the same models or plain service.
using PoolName = StrongType<struct PoolNameTag, std::string>;

// Identifies one request of a caller. Globally unique and never reused.
using RequestId = StrongType<struct RequestIdTag, std::string>;

// Version of the entire configuration; each committed change increases it by
// one.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

// Id of a partition of the ledger.
using PartitionId = StrongType<struct PartitionIdTag, std::uint32_t>;

// Position of a row in the log of a ledger partition, starting at 1.
using Sequence = StrongType<struct SequenceTag, std::uint64_t>;

// Number of an attempt to run a request on a backend server, starting at 1.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

// Position of a token or part in an answer, starting at 0.
using PartIndex = StrongType<struct PartIndexTag, std::uint64_t>;

// Epoch of a lease. It is sent with orders, so that servers can refuse orders
// from previous holders of the lease.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;

// Counts how often the platform's store has returned from an older copy. Each
// return takes back writes that the store had confirmed, and gives their
// versions out again. 0 when the store does not tell.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;

} // namespace sycamoreward
