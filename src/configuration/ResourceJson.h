#pragma once

// Conversion between resources and JSON documents, which are used by the
// operators' API, in table rows and in the configuration feed. Checks every
// field: unknown fields, wrong types and values out of range are errors.

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

// Parses a kind as written by ToString, such as "Service". Empty when the kind
// is unknown.
std::optional<ResourceKind>
ParseResourceKind(const std::string& aName);

ResourceKind
KindOf(const Resource& aResource);

const ResourceMetadata&
MetadataOf(const Resource& aResource);

// An error in a document.
struct FieldError
{
  // Path of the field, such as "spec.class.priority".
  std::string field_;
  // A full sentence with the invalid value and what would be valid.
  std::string message_;
  // Line in the file, from 1; 0 when the document did not come from a file.
  unsigned line_ = 0;
};

struct ParsedResource
{
  std::optional<Resource> resource_;
  // All errors of the document. Empty when resource_ is set.
  std::vector<FieldError> errors_;
};

// Parses a document with kind, metadata and spec. status is ignored.
ParsedResource
ResourceFromJson(const nlohmann::json& aDocument);

// Returns the document of a resource, without status.
nlohmann::json
ToJson(const Resource& aResource);

// Checks the references between resources. Returns an error for each reference
// to a resource that does not exist.
std::vector<FieldError>
CheckReferences(const Configuration& aConfiguration);

// Adds aResource to aConfiguration, replacing one of the same kind and name.
void
PutResource(Configuration& aConfiguration, const Resource& aResource);

// Removes a resource; returns whether there was one.
bool
EraseResource(Configuration& aConfiguration,
              ResourceKind aKind,
              const std::string& aName);

// Returns the resource of a kind and name; empty when there is none.
std::optional<Resource>
FindResource(const Configuration& aConfiguration,
             ResourceKind aKind,
             const std::string& aName);

} // namespace sycamoreward
