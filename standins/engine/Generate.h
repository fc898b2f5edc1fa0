#pragma once

// The answer of the engine stand-in as a function of the prompt, so that tests
// can compute what a caller must receive.

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoreward::standin {

constexpr unsigned kDefaultMaxTokens = 16;

// Text of the prompt of a completions or chat request. Throws UserError when
// there is none.
std::string
PromptText(const nlohmann::json& aBody);

// Number of tokens of a text: one for each 4 bytes, rounded up.
std::uint64_t
CountTokens(const std::string& aText);

// Number of tokens of the whole answer: aMaxTokens, or less when the prompt
// holds a hint such as "[tokens=12]".
std::uint64_t
AnswerLength(const std::string& aPrompt, std::uint64_t aMaxTokens);

// Token aIndex of the answer, from 0.
std::string
TokenAt(const std::string& aPrompt, std::uint64_t aIndex);

// The whole answer.
std::string
ExpectedAnswer(const std::string& aPrompt, std::uint64_t aMaxTokens);

// Hashes of growing prefixes of the prompt in whole blocks of kBlockBytes,
// shortest first.
constexpr std::size_t kBlockBytes = 64;
constexpr std::uint64_t kBlockTokens = kBlockBytes / 4;
std::vector<std::uint64_t>
BlockHashes(const std::string& aPrompt);

} // namespace sycamoreward::standin
