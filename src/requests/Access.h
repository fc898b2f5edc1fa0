#pragma once

// Authentication and authorization of callers.

#include "configuration/Resource.h"

#include <optional>
#include <string>

namespace sycamoreward {

// Returns the workspace that owns the token of an Authorization header ("Bearer
// TOKEN"), or nullopt when no workspace does.
std::optional<WorkspaceId>
FindWorkspace(const Configuration& aConfiguration,
              const std::string& aAuthorization);

bool
// Returns whether the workspace may call the service.
IsServiceAllowed(const Workspace& aWorkspace, const ServiceName& aService);

// Returns whether requests with this method and path, relative to
// /services/{service}, may run more than once. The route with the longest
// matching prefix applies, otherwise the default of the service.
bool
IsRepeatable(const Service& aService,
             HttpMethod aMethod,
             const std::string& aPath);

} // namespace sycamoreward
