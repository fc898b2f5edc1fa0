#pragma once

// Which operator a request comes from, by its bearer token.

#include "runtime/Http.h"
#include "settings/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// The role of the operator whose token the Authorization header carries; empty
// for no or an unknown token. The time taken does not depend on how much of a
// digest agrees, so that it tells nothing about the digests.
std::optional<OperatorRole>
FindOperatorRole(const std::vector<OperatorSettings>& aOperators,
                 const HttpHeaders& aHeaders);

} // namespace sycamoreward
