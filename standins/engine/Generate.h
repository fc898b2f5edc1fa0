#pragma once

// Generates the answers of the engine stand-in. An answer depends only on the
// prompt, so tests can compute what a caller must receive.

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoreward::standin {

constexpr unsigned kDefaultMaxTokens = 16;

// Returns the prompt text of a completions or chat request. Throws UserError if
// it has none.
std::string
PromptText(const nlohmann::json& aBody);

// Returns the number of tokens in a text: one for each 4 bytes, rounded up.
std::uint64_t
CountTokens(const std::string& aText);

// Returns the number of tokens in the complete answer: aMaxTokens, or less if
// the prompt contains a smaller hint such as "[tokens=12]".
std::uint64_t
AnswerLength(const std::string& aPrompt, std::uint64_t aMaxTokens);

// Returns the token at index aIndex of the answer, counted from 0.
std::string
TokenAt(const std::string& aPrompt, std::uint64_t aIndex);

// Returns the complete answer.
std::string
ExpectedAnswer(const std::string& aPrompt, std::uint64_t aMaxTokens);

// Returns the hash of each prefix of the prompt that consists of full blocks of
// kBlockBytes, shortest first.
constexpr std::size_t kBlockBytes = 64;
constexpr std::uint64_t kBlockTokens = kBlockBytes / 4;
std::vector<std::uint64_t>
BlockHashes(const std::string& aPrompt);

} // namespace sycamoreward::standin
