#pragma once

// The changes that make the server's resources equal to those of the files, as
// shown by `diff` and made by `apply`.

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

// A change of one resource, or ChangeAction::None when it is up to date.
struct Change
{
  ChangeAction action_ = ChangeAction::None;
  ResourceKind kind_ = ResourceKind::Service;
  std::string name_;
  // Empty for a deletion.
  std::optional<DeclaredResource> declared_;
  // Version on the server; "0" when the server does not have the resource.
  std::string version_ = "0";
  std::vector<FieldChange> fields_;
};

// Resource documents of the server, by kind and name.
using ServerResources =
  std::map<ResourceKind, std::map<std::string, nlohmann::json>>;

// Reads the server's resources of the kinds that occur in aDeclared.
ServerResources
ReadServerResources(ApiClient& aClient, const DeclaredResources& aDeclared);

// Computes the changes, ordered so that references are valid at each step:
// services first, and deletions last and in reverse. With aPrune, resources
// that aDeclared doesn't have are deleted if their kind occurs in it.
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
