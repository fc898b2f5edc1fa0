#pragma once

// Differences between two specs, field by field.

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace sycamoreward {

struct FieldChange
{
  std::string path_;
  // Null where the field is absent.
  nlohmann::json before_;
  nlohmann::json after_;
};

// Fields that differ, in the order of their paths. Lists are compared whole.
std::vector<FieldChange>
DiffSpecs(const nlohmann::json& aBefore,
          const nlohmann::json& aAfter,
          const std::string& aPath = "spec");

// The spec of a document of the server, with the defaults of this program, so
// that a field left out equals its default.
nlohmann::json
NormalizedSpec(const nlohmann::json& aDocument);

} // namespace sycamoreward
