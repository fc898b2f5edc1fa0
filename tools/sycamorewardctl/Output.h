#pragma once

// Documents of the API as text.

#include "Options.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace sycamoreward {

// A table with columns as wide as their longest cell. The first row is the
// head.
void
PrintTable(const std::vector<std::vector<std::string>>& aRows,
           std::ostream& aOut);

// Resources as a table, as a JSON array, or as YAML documents without status,
// which `apply` reads.
void
PrintResources(const std::vector<nlohmann::json>& aDocuments,
               OutputFormat aFormat,
               std::ostream& aOut);

// One event of a watch on one line (JSON and table) or as a YAML document.
void
PrintEvent(const nlohmann::json& aEvent,
           OutputFormat aFormat,
           std::ostream& aOut);

// The life of a request from its outcome record, in the order of time.
void
PrintRequest(const nlohmann::json& aRecord,
             OutputFormat aFormat,
             std::ostream& aOut);

} // namespace sycamoreward
