#pragma once

// Helpers of the certificate service tests: inject faults and query state.

#include "support/Deployment.h"

#include <string>

namespace sycamoreward {

// Returns a key of the certificate service whose partition is served by entry
// instance aIndex while all instances of a default deployment are live.
std::string
KeyServedBy(unsigned aIndex);

// Sets the faults of all servers of the certificate service.
void
SetAllServices(Deployment& aDeployment, const nlohmann::json& aFaults);

// Sets the faults of the platform stand-in.
void
SetPlatform(Deployment& aDeployment, const nlohmann::json& aFaults);

// Kills an entry instance and has the platform list it as gone.
void
KillEntry(Deployment& aDeployment, unsigned aIndex);

// Returns the number of writes that the platform's table has received.
std::uint64_t
TableWrites(Deployment& aDeployment);

// Returns whether a server of the certificate service has a call in progress.
bool
IsServiceWorking(Deployment& aDeployment);

} // namespace sycamoreward
