#pragma once

// JSON form of outcomes, used in the ledger's rows, in the inner protocol and
// in replies to callers.

#include "ledger/Outcome.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

// An answer body that is not valid UTF-8, or mostly control characters, is
// written in hexadecimal.
nlohmann::json
OutcomeToJson(const Outcome& aOutcome);

// Ignores unknown fields. Throws InternalError when a field is missing or has
// another type.
Outcome
OutcomeFromJson(const nlohmann::json& aJson);

} // namespace sycamoreward
