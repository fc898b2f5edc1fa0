#pragma once

// The peers from which a starting instance pulls the configuration.

#include "membership/Member.h"

#include <cstddef>
#include <vector>

namespace sycamoreward {

// Maximum number of listed instances of the own failure domain that are asked,
// and the same number of instances of other failure domains.
constexpr std::size_t kMaxListedSeeds = 8;

// Adds entry instances of the platform's list to the seeds of the settings,
// which only have an address. A listed instance replaces the seed with its
// address: without a failure domain, the answer of a seed would not count as
// one from the own domain.
void
MergeSeeds(std::vector<PeerIdentity>& aSeeds,
           const std::vector<PeerIdentity>& aListed,
           const PeerIdentity& aSelf);

} // namespace sycamoreward
