#pragma once

// The resources that a deployment of processes declares at its start.

#include <nlohmann/json.hpp>

#include <vector>

namespace sycamoreward {

std::vector<nlohmann::json>
DeploymentResources();

} // namespace sycamoreward
