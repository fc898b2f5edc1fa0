#pragma once

// The peers that a starting instance asks for the configuration.

#include "membership/Member.h"

#include <cstddef>
#include <vector>

namespace sycamoreward {

// Listed instances of the own failure domain that are asked, and of others.
constexpr std::size_t kMaxListedSeeds = 8;

// Adds entry instances of the platform's list to the seeds of the settings,
// which have an address only. A listed one takes the place of a seed with its
// address; without its failure domain, the answer of a seed would not count as
// one of the own domain.
void
MergeSeeds(std::vector<PeerIdentity>& aSeeds,
           const std::vector<PeerIdentity>& aListed,
           const PeerIdentity& aSelf);

} // namespace sycamoreward
