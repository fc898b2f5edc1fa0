#pragma once

// Prints documents of the API as text.

#include "Options.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace sycamoreward {

// Prints a table whose columns are as wide as their widest cell. The first row
// is the header.
void
PrintTable(const std::vector<std::vector<std::string>>& aRows,
           std::ostream& aOut);

// Prints resources as a table, as a JSON array, or as YAML documents without
// status, which `apply` can read.
void
PrintResources(const std::vector<nlohmann::json>& aDocuments,
               OutputFormat aFormat,
               std::ostream& aOut);

// Prints an event of a watch on one line (JSON and table) or as a YAML
// document.
void
PrintEvent(const nlohmann::json& aEvent,
           OutputFormat aFormat,
           std::ostream& aOut);

// Prints the attempts and the outcome of a request from its outcome record, in
// order of time.
void
PrintRequest(const nlohmann::json& aRecord,
             OutputFormat aFormat,
             std::ostream& aOut);

} // namespace sycamoreward
