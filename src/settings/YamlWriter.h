#pragma once

// JSON documents as YAML text.

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace sycamoreward {

// aValue in block form. ParseYaml reads the same value back.
std::string
ToYaml(const nlohmann::json& aValue);

} // namespace sycamoreward
