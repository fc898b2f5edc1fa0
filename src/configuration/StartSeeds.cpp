#include "configuration/StartSeeds.h"

#include <algorithm>

namespace sycamoreward {

void
MergeSeeds(std::vector<PeerIdentity>& aSeeds,
           const std::vector<PeerIdentity>& aListed,
           const PeerIdentity& aSelf)
{
  std::size_t own = 0;
  std::size_t others = 0;
  for (const PeerIdentity& listed : aListed) {
    const bool isOwnDomain = listed.failureDomain_ == aSelf.failureDomain_;
    std::size_t& count = isOwnDomain ? own : others;
    if (listed.instance_ == aSelf.instance_ || count == kMaxListedSeeds) {
      continue;
    }
    ++count;
    const auto known = std::find_if(
      aSeeds.begin(), aSeeds.end(), [&](const PeerIdentity& aSeed) {
        return aSeed.instance_ == listed.instance_ ||
               ToString(aSeed.peerAddress_) == ToString(listed.peerAddress_);
      });
    if (known == aSeeds.end()) {
      aSeeds.push_back(listed);
    } else {
      *known = listed;
    }
  }
}

} // namespace sycamoreward
