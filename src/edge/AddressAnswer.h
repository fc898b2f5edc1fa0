#pragma once

// Chooses the entry instances whose addresses are given to callers.

#include "base/Address.h"
#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoreward::edge {

// What this instance knows about an entry instance.
struct KnownInstance
{
  InstanceId id_;
  FailureDomainId domain_;
  Address callers_;
  std::uint64_t strength_ = 0;
  // Whether the instance last reported that it is ready, and that it is
  // draining.
  bool isReady_ = false;
  bool isLeaving_ = false;
  // Whether a report from the instance arrived recently.
  bool hasRecentReport_ = false;
};

// Maximum number of addresses that a caller uses.
constexpr std::size_t kMaxAddresses = 64;

// Returns at most kMaxAddresses addresses in order of preference, strongest
// instances first. When no instance is known to be ready, returns those that
// are not known to be leaving, since a caller without any address can't send
// its request.
std::vector<Address>
ChooseAddresses(const std::vector<KnownInstance>& aInstances);

} // namespace sycamoreward::edge
