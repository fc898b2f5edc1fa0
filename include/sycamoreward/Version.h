#pragma once

// Version of the library and its programs.

namespace sycamoreward {

constexpr const char* kVersion = "0.1.0";

} // namespace sycamoreward
