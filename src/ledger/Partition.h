#pragma once

// Which partition of the ledger holds a request, and the form of request ids.

#include "base/Ids.h"

#include <cstdint>
#include <string>

namespace sycamoreward {

// Partitions of each region.
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

// By XXH64 of workspace, service and key digest.
LedgerPartition
ChoosePartition(const RegionId& aRegion,
                const WorkspaceId& aWorkspace,
                const ServiceName& aService,
                const std::string& aKeyDigest);

// "{region}.{partition}.{random}" with aRandom in hexadecimal.
RequestId
FormatRequestId(const LedgerPartition& aPartition, const std::string& aRandom);

// Throws UserError when aRequest has another form or its partition is out of
// range.
LedgerPartition
ParsePartition(const RequestId& aRequest);

// "ledger/{region}/{partition}": the duty of its registrar, and the partition
// of its rows in the table.
std::string
PartitionName(const LedgerPartition& aPartition);

// 16 hexadecimal digits.
std::string
HexOf(std::uint64_t aValue);

} // namespace sycamoreward
