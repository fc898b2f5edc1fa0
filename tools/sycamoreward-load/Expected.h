#pragma once

// The answers that the engine stand-in gives, for checking what callers got.

#include <cstdint>
#include <optional>
#include <string>

namespace sycamoreward::load {

// Empty in a build without the engine stand-in.
std::optional<std::string>
ExpectedText(const std::string& aPrompt, std::uint64_t aMaxTokens);

} // namespace sycamoreward::load
