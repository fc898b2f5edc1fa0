#pragma once

// Validates the structure of CBOR data, without recursion, before it is parsed.

#include <string_view>

namespace sycamoreward {

// Maximum nesting depth of maps and arrays in a message.
constexpr std::size_t kMaxCborDepth = 16;

// Returns whether aBytes hold exactly one complete CBOR item with no trailing
// data, at most kMaxCborDepth nesting levels, and no length that exceeds the
// remaining bytes. Tags and items of indefinite length are rejected, since no
// version of this program writes them: the parser recurses for each nesting
// level and for each chunk of a nested string, so a peer could exhaust the
// stack.
bool
IsSupportedCbor(std::string_view aBytes);

} // namespace sycamoreward
