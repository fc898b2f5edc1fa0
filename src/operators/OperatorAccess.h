#pragma once

// Authenticates operators by their bearer token.

#include "runtime/Http.h"
#include "settings/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// Returns the role of the operator whose token is in the Authorization header;
// empty for a missing or unknown token. Digests are compared in constant time,
// so that the response time does not reveal them.
std::optional<OperatorRole>
FindOperatorRole(const std::vector<OperatorSettings>& aOperators,
                 const HttpHeaders& aHeaders);

} // namespace sycamoreward
