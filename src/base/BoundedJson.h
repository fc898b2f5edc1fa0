#pragma once

// Parsing of JSON from untrusted sources.

#include <nlohmann/json.hpp>

#include <string_view>

namespace sycamoreward {

// Maximum nesting depth. nlohmann-json copies and serializes values
// recursively, so a body of a few MiB of brackets would overflow the stack.
constexpr std::size_t kMaxJsonDepth = 64;

// Maximum number of values, keys not included, of a document from a caller or
// an operator. A value of two bytes takes dozens once it is parsed.
constexpr std::size_t kMaxJsonValues = 65'536;
// Memory of a parsed value, with its key and its place in the tree.
constexpr std::size_t kJsonValueBytes = 96;

// Parses aText; returns a discarded value if it is not JSON or is nested too
// deeply. If an object has a key twice, the last value is used.
nlohmann::json
ParseBoundedJson(std::string_view aText);

// Like ParseBoundedJson, but also returns a discarded value if an object has a
// key twice, because two parsers may use different values of it, or if there
// are more than kMaxJsonValues values. Sets aValues, if it is given, to the
// number of values.
nlohmann::json
ParseStrictJson(std::string_view aText, std::size_t* aValues = nullptr);

} // namespace sycamoreward
