#include "edge/AddressAnswer.h"

#include <algorithm>
#include <functional>

namespace sycamoreward::edge {

namespace {

std::vector<Address>
SelectAddresses(const std::vector<KnownInstance>& aInstances,
                const std::function<bool(const KnownInstance&)>& aIsEligible)
{
  std::vector<const KnownInstance*> eligible;
  for (const KnownInstance& instance : aInstances) {
    if (aIsEligible(instance)) {
      eligible.push_back(&instance);
    }
  }
  std::stable_sort(eligible.begin(),
                   eligible.end(),
                   [](const auto* aLeft, const auto* aRight) {
                     return aLeft->strength_ > aRight->strength_;
                   });
  std::vector<Address> addresses;
  for (const KnownInstance* instance : eligible) {
    if (addresses.size() < kMaxAddresses) {
      addresses.push_back(instance->callers_);
    }
  }
  return addresses;
}

} // namespace

std::vector<Address>
ChooseAddresses(const std::vector<KnownInstance>& aInstances)
{
  auto addresses =
    SelectAddresses(aInstances, [](const KnownInstance& aInstance) {
      return aInstance.isReady_ && aInstance.hasRecentReport_ &&
             !aInstance.isLeaving_;
    });
  if (addresses.empty()) {
    addresses = SelectAddresses(aInstances, [](const KnownInstance& aInstance) {
      return !aInstance.isLeaving_;
    });
  }
  return addresses;
}

} // namespace sycamoreward::edge
