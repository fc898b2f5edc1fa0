#pragma once

// Checks the structure of CBOR bytes before they are parsed, without recursion.

#include <string_view>

namespace sycamoreward {

// Deepest nesting of maps and arrays in a message.
constexpr std::size_t kMaxCborDepth = 16;

// Whether aBytes are one CBOR item that is complete, has nothing after it, is
// nested at most kMaxCborDepth levels deep and states no count that the bytes
// left can't hold. Tags and items of indefinite length are refused, since no
// version of this program writes them: the parser recurses for each level and
// for each chunk of a string within a string, which would let a peer exhaust
// the stack.
bool
IsSupportedCbor(std::string_view aBytes);

} // namespace sycamoreward
