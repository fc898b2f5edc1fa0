#pragma once

// The answers of the engine stand-in, for checking what callers received.

#include <cstdint>
#include <optional>
#include <string>

namespace sycamoreward::load {

// The answer to aPrompt with at most aMaxTokens tokens, or nullopt in a build
// without the engine stand-in.
std::optional<std::string>
ExpectedText(const std::string& aPrompt, std::uint64_t aMaxTokens);

} // namespace sycamoreward::load
