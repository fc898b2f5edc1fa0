#include "edge/AddressAnswer.h"

#include <algorithm>
#include <functional>

namespace sycamoreward::edge {

namespace {

std::vector<Address>
Select(const std::vector<KnownInstance>& aInstances,
       const std::function<bool(const KnownInstance&)>& aIsFit)
{
  std::vector<const KnownInstance*> fit;
  for (const KnownInstance& instance : aInstances) {
    if (aIsFit(instance)) {
      fit.push_back(&instance);
    }
  }
  std::stable_sort(
    fit.begin(), fit.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->strength_ > aRight->strength_;
    });
  std::vector<Address> addresses;
  for (const KnownInstance* instance : fit) {
    if (addresses.size() < kMostAddresses) {
      addresses.push_back(instance->callers_);
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
