#pragma once

// Writes JSON documents as YAML text.

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace sycamoreward {

// Formats aValue in block style. ParseYaml reads the same value back.
std::string
ToYaml(const nlohmann::json& aValue);

} // namespace sycamoreward
