#pragma once

// SHA-256 digests of keys, bodies and tokens.

#include <string>
#include <string_view>
#include <vector>

namespace sycamoreward {

// SHA-256 of aText in hexadecimal.
std::string
Sha256Hex(std::string_view aText);

// SHA-256 in hexadecimal of several parts, each prefixed by its length, so that
// different splits of the same text have different digests.
std::string
Sha256Hex(const std::vector<std::string_view>& aParts);

// Compares two digests in constant time: the time depends only on the lengths.
bool
IsSameDigest(std::string_view aLeft, std::string_view aRight);

} // namespace sycamoreward
