#include "configuration/ConfigState.h"

#include "base/BoundedJson.h"
#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

[[noreturn]] void
ThrowUnreadableChange(const std::string& aText, const std::string& aReason)
{
  throw UserError("read configuration change",
                  "",
                  "The change " + aText.substr(0, 200) +
                    " can't be read: " + aReason + ".");
}

Resource
ReadResource(const Json& aDocument, const std::string& aText)
{
  ParsedResource parsed = ResourceFromJson(aDocument);
  if (!parsed.resource_.has_value()) {
    ThrowUnreadableChange(aText,
                          parsed.errors_.empty()
                            ? "it holds no resource"
                            : parsed.errors_.front().message_);
  }
  return std::move(*parsed.resource_);
}

void
Apply(Configuration& aConfiguration, const ConfigChange& aChange)
{
  if (aChange.resource_.has_value()) {
    PutResource(aConfiguration, *aChange.resource_);
  } else {
    EraseResource(aConfiguration, aChange.kind_, aChange.name_);
  }
  aConfiguration.revision_ = aChange.revision_;
}

template<typename T>
void
AddResources(const std::map<std::string, T>& aResources,
             std::vector<ConfigChange>& aChanges)
{
  for (const auto& [name, resource] : aResources) {
    aChanges.push_back({ resource.metadata_.resourceVersion_,
                         KindOf(resource),
                         name,
                         Resource(resource),
                         false });
  }
}

} // namespace

std::string
FormatConfigChange(const ConfigChange& aChange)
{
  const Json json{ { "revision", aChange.revision_.Value() },
                   { "kind", ToString(aChange.kind_) },
                   { "name", aChange.name_ },
                   { "resource",
                     aChange.resource_.has_value() ? ToJson(*aChange.resource_)
                                                   : Json(nullptr) } };
  return json.dump();
}

ConfigChange
ParseConfigChange(const std::string& aText)
{
  const Json json = ParseBoundedJson(aText);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_unsigned() || !json.contains("kind") ||
      !json["kind"].is_string() || !json.contains("name") ||
      !json["name"].is_string() || !json.contains("resource")) {
    ThrowUnreadableChange(aText, "a field is missing or has a wrong type");
  }
  const auto kind = ParseResourceKind(json["kind"].get<std::string>());
  if (!kind.has_value()) {
    ThrowUnreadableChange(aText, "its kind is not known");
  }
  ConfigChange change;
  change.revision_ = Revision(json["revision"].get<std::uint64_t>());
  change.kind_ = *kind;
  change.name_ = json["name"].get<std::string>();
  if (!json["resource"].is_null()) {
    change.resource_ =
      WithVersion(ReadResource(json["resource"], aText), change.revision_);
  }
  return change;
}

std::vector<ConfigChange>
ResourcesOf(const Configuration& aConfiguration)
{
  std::vector<ConfigChange> changes;
  AddResources(aConfiguration.services_, changes);
  AddResources(aConfiguration.workspaces_, changes);
  AddResources(aConfiguration.modelVersions_, changes);
  AddResources(aConfiguration.routingPolicies_, changes);
  return changes;
}

Configuration
MakeConfiguration(Revision aRevision,
                  const std::vector<ConfigChange>& aResources)
{
  Configuration configuration;
  for (const ConfigChange& change : aResources) {
    if (!change.resource_.has_value()) {
      ThrowUnreadableChange(change.name_, "a snapshot holds a deletion");
    }
    PutResource(configuration, *change.resource_);
  }
  configuration.revision_ = aRevision;
  return configuration;
}

Resource
WithVersion(Resource aResource, Revision aVersion)
{
  std::visit(
    [&](auto& aValue) { aValue.metadata_.resourceVersion_ = aVersion; },
    aResource);
  return aResource;
}

ConfigState::ConfigState(std::size_t aMaxChanges)
  : maxChanges_(aMaxChanges)
  , current_(std::make_shared<Configuration>())
{
}

bool
ConfigState::ApplyChanges(const std::vector<ConfigChange>& aChanges)
{
  std::shared_ptr<Configuration> next;
  for (const ConfigChange& change : aChanges) {
    const Revision now =
      next != nullptr ? next->revision_ : current_->revision_;
    if (change.revision_ <= now) {
      continue;
    }
    if (change.revision_.Value() != now.Value() + 1) {
      break;
    }
    if (next == nullptr) {
      next = std::make_shared<Configuration>(*current_);
    }
    changes_.push_back(change);
    changes_.back().isNew_ =
      !FindResource(*next, change.kind_, change.name_).has_value();
    Apply(*next, change);
    if (changes_.size() > maxChanges_) {
      changes_.pop_front();
    }
  }
  if (next == nullptr) {
    return false;
  }
  current_ = std::move(next);
  return true;
}

bool
ConfigState::ApplySnapshot(Configuration aConfiguration)
{
  if (aConfiguration.revision_ <= current_->revision_) {
    return false;
  }
  current_ = std::make_shared<Configuration>(std::move(aConfiguration));
  changes_.clear();
  return true;
}

std::optional<std::vector<ConfigChange>>
ConfigState::ChangesAfter(Revision aRevision) const
{
  const Revision first = changes_.empty()
                           ? Revision(current_->revision_.Value() + 1)
                           : changes_.front().revision_;
  if (aRevision.Value() + 1 < first.Value()) {
    return std::nullopt;
  }
  std::vector<ConfigChange> changes;
  for (const ConfigChange& change : changes_) {
    if (change.revision_ > aRevision) {
      changes.push_back(change);
    }
  }
  return changes;
}

} // namespace sycamoreward
