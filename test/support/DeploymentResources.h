#pragma once

// Returns the resources that a test deployment declares when it starts.

#include <nlohmann/json.hpp>

#include <vector>

namespace sycamoreward {

std::vector<nlohmann::json>
DeploymentResources();

} // namespace sycamoreward
