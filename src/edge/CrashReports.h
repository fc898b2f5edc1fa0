#pragma once

// Exchanges crashes of servers, and the fingerprints that are refused for them,
// with the other entry instances.

#include "edge/EdgeState.h"
#include "peer/Messages.h"

#include <optional>
#include <vector>

namespace sycamoreward::edge {

// Adds the crashes that this instance itself has seen since aSince, complete
// answers since then, and all blocks. For reports to instances that merge them.
void
AddSeenCrashes(const EdgeState& aState,
               MonotonicTime aSince,
               std::vector<ServerCrash>& aCrashes,
               std::vector<FingerprintStatus>& aFingerprints);

// Adds what all instances need to know of the crashes that any of them saw, and
// all blocks. Many servers can end within seconds, each under dozens of
// requests that never come again, so only fingerprints that came again after a
// crash are told, with the latest crashes that count.
void
AddRecurrentCrashes(const EdgeState& aState,
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

// Returns whether this instance may send a request with aFingerprint, aTime
// after the decision to block it, to find out which one of several blocked
// fingerprints crashes servers. One instance may once all know of the block,
// and twice as many each time that the result of a test has reached the others.
// Requests with more blocked fingerprints, aBlocked of them, come later.
bool
MayTest(const EdgeState& aState,
        Fingerprint aFingerprint,
        Duration aTime,
        std::size_t aBlocked);

// Returns how long a request with aFingerprints that comes to this instance has
// to wait; nullopt if it may be sent.
std::optional<Duration>
BlockedFor(const EdgeState& aState,
           const std::vector<Fingerprint>& aFingerprints);

} // namespace sycamoreward::edge
