#include "edge/AddressAnswer.h"

#include <functional>

namespace sycamoreward::edge {

namespace {

std::vector<Address>
Select(const std::vector<KnownInstance>& aInstances,
       const std::function<bool(const KnownInstance&)>& aIsFit)
{
  std::vector<Address> addresses;
  for (const KnownInstance& instance : aInstances) {
    if (aIsFit(instance) && addresses.size() < kMostAddresses) {
      addresses.push_back(instance.callers_);
    }
  }
  return addresses;
}

} // namespace

std::vector<Address>
ChooseAddresses(const std::vector<KnownInstance>& aInstances)
{
  auto addresses = Select(aInstances, [](const KnownInstance& aInstance) {
    return aInstance.isReady_ && aInstance.isHeard_ && !aInstance.isLeaving_;
  });
  if (addresses.empty()) {
    addresses = Select(aInstances, [](const KnownInstance& aInstance) {
      return !aInstance.isLeaving_;
    });
  }
  return addresses;
}

} // namespace sycamoreward::edge
