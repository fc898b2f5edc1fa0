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

// Returns the fields that differ, sorted by path. A list counts as one value.
std::vector<FieldChange>
DiffSpecs(const nlohmann::json& aBefore,
          const nlohmann::json& aAfter,
          const std::string& aPath = "spec");

// Returns the spec of a server's document with the defaults of this program
// filled in, so that an omitted field equals its default.
nlohmann::json
NormalizedSpec(const nlohmann::json& aDocument);

} // namespace sycamoreward
