#pragma once

// Faults and questions that tests of certificates share.

#include "support/Deployment.h"

#include <string>

namespace sycamoreward {

// A key of the certificate service whose partition the entry instance aIndex
// serves while all instances of a default deployment are live.
std::string
KeyServedBy(unsigned aIndex);

// Sets faults of all servers of the certificate service.
void
SetAllServices(Deployment& aDeployment, const nlohmann::json& aFaults);

void
SetPlatform(Deployment& aDeployment, const nlohmann::json& aFaults);

// Kills an entry instance, which the platform then lists as gone.
void
KillEntry(Deployment& aDeployment, unsigned aIndex);

// Writes that the platform's table has got.
std::uint64_t
TableWrites(Deployment& aDeployment);

// Whether a server of the certificate service has a call in progress.
bool
IsServiceWorking(Deployment& aDeployment);

} // namespace sycamoreward
