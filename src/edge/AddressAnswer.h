#pragma once

// Which entry instances callers are told to use.

#include "base/Address.h"
#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoreward::edge {

struct KnownInstance
{
  InstanceId id_;
  FailureDomainId domain_;
  Address callers_;
  std::uint64_t strength_ = 0;
  // It said that it is ready, and does not leave.
  bool isReady_ = false;
  bool isLeaving_ = false;
  // A report came lately.
  bool hasRecentReport_ = false;
};

// Most addresses that a caller takes.
constexpr std::size_t kMaxAddresses = 64;

// Addresses in the order of preference, those of strong machines first, since
// only kMaxAddresses are taken. When no instance is known to be ready
// those that are not known to leave are given: a caller that gets no address
// has nowhere to go.
std::vector<Address>
ChooseAddresses(const std::vector<KnownInstance>& aInstances);

} // namespace sycamoreward::edge
