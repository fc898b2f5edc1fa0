#pragma once

// Assignment of requests to ledger partitions, and the format of request ids.

#include "base/Ids.h"

#include <cstdint>
#include <string>

namespace sycamoreward {

// Number of ledger partitions in each region.
constexpr std::uint32_t kPartitionsPerRegion = 8;

struct LedgerPartition
{
  RegionId region_;
  PartitionId partition_;

  friend bool operator<(const LedgerPartition& aLeft,
                        const LedgerPartition& aRight)
  {
    return aLeft.region_ != aRight.region_
             ? aLeft.region_ < aRight.region_
             : aLeft.partition_ < aRight.partition_;
  }
  friend bool operator==(const LedgerPartition& aLeft,
                         const LedgerPartition& aRight)
  {
    return aLeft.region_ == aRight.region_ &&
           aLeft.partition_ == aRight.partition_;
  }
};

// Chooses the partition by XXH64 of workspace, service and key digest.
LedgerPartition
ChoosePartition(const RegionId& aRegion,
                const WorkspaceId& aWorkspace,
                const ServiceName& aService,
                const std::string& aKeyDigest);

// Returns "{region}.{partition}.{random}". aRandom must be hexadecimal.
RequestId
FormatRequestId(const LedgerPartition& aPartition, const std::string& aRandom);

// Parses the partition of a request id. Throws UserError when the id has
// another format or the partition is out of range.
LedgerPartition
ParsePartition(const RequestId& aRequest);

// Returns "ledger/{region}/{partition}". It names the duty of the partition's
// registrar and is the partition key of its rows in the table.
std::string
PartitionName(const LedgerPartition& aPartition);

// Formats a number as 16 hexadecimal digits.
std::string
HexOf(std::uint64_t aValue);

} // namespace sycamoreward
