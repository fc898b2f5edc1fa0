#pragma once

// What `diff` shows and `apply` does: the changes that make the server's
// resources those of the files.

#include "ApiClient.h"
#include "ResourceFiles.h"
#include "SpecDiff.h"

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace sycamoreward {

enum class ChangeAction
{
  None,
  Create,
  Update,
  Delete
};

const char*
ToString(ChangeAction aAction);

struct Change
{
  ChangeAction action_ = ChangeAction::None;
  ResourceKind kind_ = ResourceKind::Service;
  std::string name_;
  // Empty for a deletion.
  std::optional<DeclaredResource> declared_;
  // Version that the server has; "0" when it has none.
  std::string version_ = "0";
  std::vector<FieldChange> fields_;
};

// Documents of the server by kind and name.
using ServerResources =
  std::map<ResourceKind, std::map<std::string, nlohmann::json>>;

// Lists the kinds that aDeclared has.
ServerResources
ReadServerResources(ApiClient& aClient, const DeclaredResources& aDeclared);

// Changes in an order in which each reference exists: services first, and
// deletions last, in reverse. aPrune deletes resources of the kinds in
// aDeclared that it doesn't have.
std::vector<Change>
MakePlan(const DeclaredResources& aDeclared,
         const ServerResources& aServer,
         bool aPrune);

// Prints the changes with their fields.
void
PrintPlan(const std::vector<Change>& aPlan, std::ostream& aOut);

nlohmann::json
PlanToJson(const std::vector<Change>& aPlan);

// Whether aPlan changes anything.
bool
HasChanges(const std::vector<Change>& aPlan);

} // namespace sycamoreward
