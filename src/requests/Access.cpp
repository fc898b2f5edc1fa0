#include "requests/Access.h"

#include "base/Digest.h"

#include <algorithm>

namespace sycamoreward {

std::optional<WorkspaceId>
FindWorkspace(const Configuration& aConfiguration,
              const std::string& aAuthorization)
{
  static const std::string kScheme = "Bearer ";
  if (aAuthorization.compare(0, kScheme.size(), kScheme) != 0) {
    return std::nullopt;
  }
  const std::string digest =
    Sha256Hex(std::string_view(aAuthorization).substr(kScheme.size()));
  std::optional<WorkspaceId> found;
  // There is no early exit, so that the response time does not reveal which
  // workspace's digest was close to a match.
  for (const auto& [name, workspace] : aConfiguration.workspaces_) {
    for (const std::string& allowed : workspace.tokenDigests_) {
      if (IsSameDigest(digest, allowed) && !found) {
        found = WorkspaceId(name);
      }
    }
  }
  return found;
}

bool
IsServiceAllowed(const Workspace& aWorkspace, const ServiceName& aService)
{
  const auto& allowed = aWorkspace.services_;
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), aService) != allowed.end();
}

bool
IsRepeatable(const Service& aService,
             HttpMethod aMethod,
             const std::string& aPath)
{
  bool isRepeatable = aService.isRepeatable_;
  std::size_t longest = 0;
  for (const ServiceRoute& route : aService.routes_) {
    const std::size_t length = route.pathPrefix_.size();
    if (route.method_ == aMethod && length + 1 > longest &&
        aPath.compare(0, length, route.pathPrefix_) == 0) {
      longest = length + 1;
      isRepeatable = route.isRepeatable_;
    }
  }
  return isRepeatable;
}

} // namespace sycamoreward
