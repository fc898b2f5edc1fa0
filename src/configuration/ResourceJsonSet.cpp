// Functions of ResourceJson.h that operate on a complete Configuration.

#include "configuration/ResourceJson.h"

namespace sycamoreward {

namespace {

// Calls aAction with the map of resources of a kind.
template<typename C, typename F>
auto
WithMap(C& aConfiguration, ResourceKind aKind, F aAction)
{
  switch (aKind) {
    case ResourceKind::Service:
      return aAction(aConfiguration.services_);
    case ResourceKind::Workspace:
      return aAction(aConfiguration.workspaces_);
    case ResourceKind::ModelVersion:
      return aAction(aConfiguration.modelVersions_);
    case ResourceKind::RoutingPolicy:
      break;
  }
  return aAction(aConfiguration.routingPolicies_);
}

void
CheckServiceReference(const Configuration& aConfiguration,
                      const std::string& aOwner,
                      const std::string& aField,
                      const ServiceName& aService,
                      std::vector<FieldError>& aErrors)
{
  if (aConfiguration.services_.count(aService.Value()) == 0) {
    aErrors.push_back({ aField,
                        aOwner + " refers to the Service \"" +
                          aService.Value() + "\" in \"" + aField +
                          "\", which does not exist; declare it or remove the "
                          "reference.",
                        0 });
  }
}

} // namespace

std::vector<FieldError>
CheckReferences(const Configuration& aConfiguration)
{
  std::vector<FieldError> errors;
  for (const auto& [name, workspace] : aConfiguration.workspaces_) {
    for (std::size_t i = 0; i < workspace.services_.size(); ++i) {
      CheckServiceReference(aConfiguration,
                            "The Workspace \"" + name + "\"",
                            "spec.services[" + std::to_string(i) + "]",
                            workspace.services_[i],
                            errors);
    }
  }
  for (const auto& [name, policy] : aConfiguration.routingPolicies_) {
    CheckServiceReference(aConfiguration,
                          "The RoutingPolicy \"" + name + "\"",
                          "spec.service",
                          policy.service_,
                          errors);
  }
  return errors;
}

void
PutResource(Configuration& aConfiguration, const Resource& aResource)
{
  WithMap(aConfiguration, KindOf(aResource), [&](auto& aMap) {
    using Item = typename std::decay_t<decltype(aMap)>::mapped_type;
    aMap[MetadataOf(aResource).name_] = std::get<Item>(aResource);
  });
}

bool
EraseResource(Configuration& aConfiguration,
              ResourceKind aKind,
              const std::string& aName)
{
  return WithMap(
    aConfiguration, aKind, [&](auto& aMap) { return aMap.erase(aName) > 0; });
}

std::optional<Resource>
FindResource(const Configuration& aConfiguration,
             ResourceKind aKind,
             const std::string& aName)
{
  return WithMap(
    aConfiguration, aKind, [&](const auto& aMap) -> std::optional<Resource> {
      const auto found = aMap.find(aName);
      return found == aMap.end() ? std::nullopt
                                 : std::optional<Resource>(found->second);
    });
}

} // namespace sycamoreward
