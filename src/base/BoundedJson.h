#pragma once

// Parsing of JSON that comes from outside.

#include <nlohmann/json.hpp>

#include <string_view>

namespace sycamoreward {

// Deepest nesting that is accepted. nlohmann-json copies and writes values by
// recursion, so a body of a few MiB of brackets would exhaust the stack.
constexpr std::size_t kMaxJsonDepth = 64;

// A discarded value when aText is not JSON or is nested too deeply. Of a key
// that occurs twice in an object, the last value counts.
nlohmann::json
ParseBoundedJson(std::string_view aText);

// The same, and discarded also when a key occurs twice in an object: which of
// the two is meant is open, and two readers may differ.
nlohmann::json
ParseStrictJson(std::string_view aText);

} // namespace sycamoreward
