#include "Plan.h"

#include <algorithm>
#include <set>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Position in the plan: a resource is created before those that refer to it,
// and deleted after them.
int
ApplyOrder(const Change& aChange)
{
  const int kind = static_cast<int>(aChange.kind_);
  // Workspaces refer to services, so they come after all other kinds.
  const int order = aChange.kind_ == ResourceKind::Workspace ? 9 : kind;
  return aChange.action_ == ChangeAction::Delete ? 100 - order : order;
}

Change
PlanChange(const DeclaredResource& aDeclared, const ServerResources& aServer)
{
  Change change;
  change.kind_ = KindOf(aDeclared.resource_);
  change.name_ = MetadataOf(aDeclared.resource_).name_;
  change.declared_ = aDeclared;
  const Json after = ToJson(aDeclared.resource_)["spec"];
  const auto kind = aServer.find(change.kind_);
  if (kind == aServer.end() || kind->second.count(change.name_) == 0) {
    change.action_ = ChangeAction::Create;
    change.fields_ = DiffSpecs(Json::object(), after);
    return change;
  }
  const Json& document = kind->second.at(change.name_);
  change.version_ = document.at("metadata").value("resourceVersion", "0");
  change.fields_ = DiffSpecs(NormalizedSpec(document), after);
  change.action_ =
    change.fields_.empty() ? ChangeAction::None : ChangeAction::Update;
  return change;
}

std::string
FormatFieldValue(const Json& aValue)
{
  return aValue.is_null()
           ? "(none)"
           : aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

const char*
ToString(ChangeAction aAction)
{
  switch (aAction) {
    case ChangeAction::None:
      return "unchanged";
    case ChangeAction::Create:
      return "create";
    case ChangeAction::Update:
      return "update";
    case ChangeAction::Delete:
      break;
  }
  return "delete";
}

ServerResources
ReadServerResources(ApiClient& aClient, const DeclaredResources& aDeclared)
{
  ServerResources server;
  std::set<ResourceKind> kinds;
  for (const DeclaredResource& declared : aDeclared.resources_) {
    kinds.insert(KindOf(declared.resource_));
  }
  for (const ResourceKind kind : kinds) {
    auto& items = server[kind];
    const Json list =
      aClient.CallOrThrow(HttpMethod::Get, ResourceTarget(kind));
    for (const Json& item : list.at("items")) {
      items[item.at("metadata").at("name").get<std::string>()] = item;
    }
  }
  return server;
}

std::vector<Change>
MakePlan(const DeclaredResources& aDeclared,
         const ServerResources& aServer,
         bool aPrune)
{
  std::vector<Change> plan;
  std::set<std::pair<ResourceKind, std::string>> names;
  for (const DeclaredResource& declared : aDeclared.resources_) {
    plan.push_back(PlanChange(declared, aServer));
    names.emplace(plan.back().kind_, plan.back().name_);
  }
  for (const auto& [kind, items] : aServer) {
    for (const auto& [name, document] : items) {
      if (!aPrune || names.count({ kind, name }) > 0) {
        continue;
      }
      Change change;
      change.action_ = ChangeAction::Delete;
      change.kind_ = kind;
      change.name_ = name;
      change.version_ = document.at("metadata").value("resourceVersion", "0");
      plan.push_back(std::move(change));
    }
  }
  std::stable_sort(
    plan.begin(), plan.end(), [](const Change& aLeft, const Change& aRight) {
      return ApplyOrder(aLeft) < ApplyOrder(aRight);
    });
  return plan;
}

void
PrintPlan(const std::vector<Change>& aPlan, std::ostream& aOut)
{
  for (const Change& change : aPlan) {
    if (change.action_ == ChangeAction::None) {
      continue;
    }
    aOut << ToString(change.action_) << " " << ToString(change.kind_) << "/"
         << change.name_ << "\n";
    for (const FieldChange& field : change.fields_) {
      aOut << "  " << field.path_ << ": ";
      if (change.action_ == ChangeAction::Update) {
        aOut << FormatFieldValue(field.before_) << " -> ";
      }
      aOut << FormatFieldValue(field.after_) << "\n";
    }
  }
}

Json
PlanToJson(const std::vector<Change>& aPlan)
{
  Json result = Json::array();
  for (const Change& change : aPlan) {
    Json fields = Json::array();
    for (const FieldChange& field : change.fields_) {
      fields.push_back({ { "field", field.path_ },
                         { "before", field.before_ },
                         { "after", field.after_ } });
    }
    result.push_back({ { "action", ToString(change.action_) },
                       { "kind", ToString(change.kind_) },
                       { "name", change.name_ },
                       { "fields", std::move(fields) } });
  }
  return result;
}

bool
HasChanges(const std::vector<Change>& aPlan)
{
  return std::any_of(aPlan.begin(), aPlan.end(), [](const Change& aChange) {
    return aChange.action_ != ChangeAction::None;
  });
}

} // namespace sycamoreward
