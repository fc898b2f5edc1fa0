#pragma once

// Resources as JSON documents: the form of the operators' API, of table rows
// and of the configuration feed. Checks every field: unknown fields, wrong
// types, values out of range.

#include "configuration/Resource.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamoreward {

using Resource = std::variant<Service, Workspace, ModelVersion, RoutingPolicy>;

const char*
ToString(ResourceKind aKind);

// Empty when aName names no kind. Names are those of ToString: "Service", ...
std::optional<ResourceKind>
ParseResourceKind(const std::string& aName);

ResourceKind
KindOf(const Resource& aResource);

const ResourceMetadata&
MetadataOf(const Resource& aResource);

// A fault in a document.
struct FieldError
{
  // Path of the field, such as "spec.class.priority".
  std::string field_;
  // Full sentence with the value at fault and what would be right.
  std::string message_;
  // Line in the file, from 1; 0 when the document did not come from a file.
  unsigned line_ = 0;
};

struct ParsedResource
{
  std::optional<Resource> resource_;
  // All faults of the document at once. Empty when resource_ is set.
  std::vector<FieldError> errors_;
};

// Reads a document with kind, metadata and spec. status is ignored.
ParsedResource
ResourceFromJson(const nlohmann::json& aDocument);

// The document without status.
nlohmann::json
ToJson(const Resource& aResource);

// Faults of aConfiguration as a whole: references to resources that don't
// exist.
std::vector<FieldError>
CheckReferences(const Configuration& aConfiguration);

// Puts aResource into aConfiguration, or replaces one of the same kind and
// name.
void
PutResource(Configuration& aConfiguration, const Resource& aResource);

// Removes a resource; returns whether there was one.
bool
EraseResource(Configuration& aConfiguration,
              ResourceKind aKind,
              const std::string& aName);

// The resource of a kind and name; empty when there is none.
std::optional<Resource>
FindResource(const Configuration& aConfiguration,
             ResourceKind aKind,
             const std::string& aName);

} // namespace sycamoreward
