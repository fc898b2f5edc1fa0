#pragma once

// Who a caller is, and what it may call.

#include "configuration/Resource.h"

#include <optional>
#include <string>

namespace sycamoreward {

// The workspace whose tokens hold the one in an Authorization field ("Bearer
// TOKEN"). Empty when there is none.
std::optional<WorkspaceId>
FindWorkspace(const Configuration& aConfiguration,
              const std::string& aAuthorization);

bool
IsServiceAllowed(const Workspace& aWorkspace, const ServiceName& aService);

// Whether requests of a method and path below /services/{service} may run more
// than once. The route with the longest fitting prefix decides.
bool
IsRepeatable(const Service& aService,
             HttpMethod aMethod,
             const std::string& aPath);

} // namespace sycamoreward
