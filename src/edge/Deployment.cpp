#include "edge/Deployment.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// The host name in lower case, without its port.
std::string
HostName(const std::string& aHost)
{
  std::string name = aHost.substr(0, aHost.find(':'));
  std::transform(name.begin(), name.end(), name.begin(), [](char aCharacter) {
    return aCharacter >= 'A' && aCharacter <= 'Z' ? char(aCharacter + 32)
                                                  : aCharacter;
  });
  return name;
}

} // namespace

RouteTable::RouteTable(Deployment aDeployment)
  : deployment_(std::move(aDeployment))
{
  const auto& routes = deployment_.routes_;
  for (std::size_t index = 0; index < routes.size(); ++index) {
    byHost_[HostName(routes[index].host_)].push_back(index);
  }
  for (auto& [host, indexes] : byHost_) {
    std::stable_sort(indexes.begin(),
                     indexes.end(),
                     [&](std::size_t aLeft, std::size_t aRight) {
                       return routes[aLeft].prefix_.size() >
                              routes[aRight].prefix_.size();
                     });
  }
  const auto& workspaces = deployment_.workspaces_;
  for (std::size_t index = 0; index < workspaces.size(); ++index) {
    for (const std::string& key : workspaces[index].keys_) {
      byKey_[key] = index;
    }
  }
  for (std::size_t index = 0; index < deployment_.services_.size(); ++index) {
    byService_[deployment_.services_[index].name_] = index;
  }
}

const Route*
RouteTable::FindRoute(const std::string& aHost, std::string_view aPath) const
{
  const auto found = byHost_.find(HostName(aHost));
  if (found == byHost_.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  for (const std::size_t index : found->second) {
    const Route& route = deployment_.routes_[index];
    if (path.substr(0, route.prefix_.size()) == route.prefix_) {
      return &route;
    }
  }
  return nullptr;
}

const WorkspaceSpec*
RouteTable::FindWorkspace(const std::string& aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr
                               : &deployment_.workspaces_[found->second];
}

const ServiceSpec*
RouteTable::FindService(const ServiceName& aName) const
{
  const auto found = byService_.find(aName);
  return found == byService_.end() ? nullptr
                                   : &deployment_.services_[found->second];
}

const ServiceName&
PickService(const Route& aRoute, double aDraw)
{
  double total = 0;
  for (const WeightedService& service : aRoute.services_) {
    total += service.weight_;
  }
  double left = aDraw * total;
  for (const WeightedService& service : aRoute.services_) {
    left -= service.weight_;
    if (left < 0) {
      return service.service_;
    }
  }
  return aRoute.services_.back().service_;
}

} // namespace sycamoreward::edge
