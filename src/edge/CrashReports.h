#pragma once

// Exchanges crashes of servers, and the fingerprints that are refused for them,
// with the other entry instances.

#include "edge/EdgeState.h"
#include "peer/Messages.h"

#include <vector>

namespace sycamoreward::edge {

// Adds the crashes and complete answers that this instance learned of a short
// time ago, and all blocks.
void
AddCrashes(const EdgeState& aState,
           std::vector<ServerCrash>& aCrashes,
           std::vector<FingerprintStatus>& aFingerprints);

// Applies what another instance knows. Malformed entries are ignored.
void
ApplyCrashes(EdgeState& aState,
             const std::vector<ServerCrash>& aCrashes,
             const std::vector<FingerprintStatus>& aFingerprints);

// Decides which fingerprints are refused from now on, and logs them.
void
UpdateBlocked(EdgeState& aState);

// Returns whether this instance is the one that tries requests with
// aFingerprint after their block.
bool
MayTry(const EdgeState& aState, Fingerprint aFingerprint);

} // namespace sycamoreward::edge
