#pragma once

// Ids and counters that cross package borders.

#include "base/StrongType.h"

#include <cstdint>
#include <string>

namespace sycamoreward {

// An entry instance or the instance of a backend server, as the platform names
// it.
using InstanceId = StrongType<struct InstanceIdTag, std::string>;

// Counts the starts of an instance: milliseconds of wall time at the start of
// the process. A refutation of a wrong suspicion counts it up by one.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// A zone whose instances can all be lost at once.
using FailureDomainId = StrongType<struct FailureDomainIdTag, std::string>;

// A group of failure domains with short links between them.
using RegionId = StrongType<struct RegionIdTag, std::string>;

// A customer of the system, with a share of the capacity.
using WorkspaceId = StrongType<struct WorkspaceIdTag, std::string>;

// Name of a Service resource.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;

// A backend server: an engine or a server of a plain service.
using ServerId = StrongType<struct ServerIdTag, std::string>;

// A set of backend servers that serve the same models or plain service.
using PoolName = StrongType<struct PoolNameTag, std::string>;

// Names one request of a caller. Unique for all time.
using RequestId = StrongType<struct RequestIdTag, std::string>;

// Version of the whole configuration; each committed change adds one.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

// Partition of the ledger.
using PartitionId = StrongType<struct PartitionIdTag, std::uint32_t>;

// Position of a row in the log of a partition, from 1.
using Sequence = StrongType<struct SequenceTag, std::uint64_t>;

// Number of an attempt of a request at a backend server, from 1.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

// Position of a token or part in an answer, from 0.
using PartIndex = StrongType<struct PartIndexTag, std::uint64_t>;

// Epoch of a lease, sent with orders so that servers can refuse old holders.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;

} // namespace sycamoreward
