#pragma once

// Keeps the request rates that servers name up to date in the state of an entry
// instance, and exchanges them with the others.

#include "edge/EdgeState.h"
#include "peer/Messages.h"

#include <optional>
#include <vector>

namespace sycamoreward::edge {

// Applies what an answer of aView's server, of aPool, told of its limit;
// nullopt if it names none. Logs and reports a change.
void
ApplyAnsweredLimit(EdgeState& aState,
                   const PoolView& aPool,
                   BackendView& aView,
                   const std::optional<RequestRate>& aRate);

// Sets this instance's parts of all limits, and lifts those that no answer has
// confirmed for long.
void
UpdateLimitParts(EdgeState& aState);

// Adds the limits that are known, and those that were lifted a short time ago.
void
AddLimits(const EdgeState& aState, std::vector<ServerLimit>& aLimits);

// Applies limits that another instance knows. Logs and reports changes.
void
ApplyRelayedLimits(EdgeState& aState, const std::vector<ServerLimit>& aLimits);

// Returns when a caller may retry whose request no server of aPool can take
// because of their limits; nullopt if no server has one. aDraw from 0 to 1
// spreads the callers.
std::optional<Duration>
LimitedServersWait(const PoolView& aPool, double aDraw);

} // namespace sycamoreward::edge
