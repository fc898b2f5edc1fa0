#pragma once

// SHA-256 digests of keys, bodies and tokens.

#include <string>
#include <string_view>
#include <vector>

namespace sycamoreward {

// SHA-256 of aText in hexadecimal.
std::string
DigestOf(std::string_view aText);

// SHA-256 of several parts, each preceded by its length, so that different
// splits of the same text differ.
std::string
DigestOf(const std::vector<std::string_view>& aParts);

// Compares in a time that depends on the lengths only.
bool
IsSameDigest(std::string_view aLeft, std::string_view aRight);

} // namespace sycamoreward
