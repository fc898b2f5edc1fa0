#pragma once

// JSON representation of outcomes, used in ledger rows, in messages between
// instances and in replies to callers.

#include "ledger/Outcome.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

// An answer body is written in hexadecimal if it is not valid UTF-8 or consists
// mostly of control characters.
nlohmann::json
OutcomeToJson(const Outcome& aOutcome);

// Ignores unknown fields. Throws InternalError when a field is missing or has
// the wrong type.
Outcome
OutcomeFromJson(const nlohmann::json& aJson);

} // namespace sycamoreward
