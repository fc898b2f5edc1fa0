#pragma once

// SHA-256 digests as hexadecimal text.

#include <string>
#include <string_view>

namespace sycamoreward {

// Throws InternalError when the library fails.
std::string
Sha256Hex(std::string_view aData);

} // namespace sycamoreward
