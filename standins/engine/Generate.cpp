#include "engine/Generate.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace sycamoreward::standin {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t
Hash(const char* aData, std::size_t aLength, std::uint64_t aSeed)
{
  std::uint64_t hash = aSeed;
  for (std::size_t at = 0; at < aLength; ++at) {
    hash = (hash ^ static_cast<unsigned char>(aData[at])) * kFnvPrime;
  }
  return hash;
}

std::string
ContentText(const nlohmann::json& aContent)
{
  if (aContent.is_string()) {
    return aContent.get<std::string>();
  }
  std::string text;
  if (aContent.is_array()) {
    for (const auto& part : aContent) {
      if (part.is_object() && part.contains("text") &&
          part["text"].is_string()) {
        text += part["text"].get<std::string>();
      }
    }
  }
  return text;
}

} // namespace

std::string
PromptText(const nlohmann::json& aBody)
{
  if (aBody.contains("prompt") && aBody["prompt"].is_string()) {
    return aBody["prompt"].get<std::string>();
  }
  if (!aBody.contains("messages") || !aBody["messages"].is_array()) {
    throw UserError(
      "generate", "", "The request has neither a prompt nor messages.");
  }
  std::string text;
  for (const auto& message : aBody["messages"]) {
    if (message.is_object() && message.contains("content")) {
      text += message.value("role", std::string("user")) + ": " +
              ContentText(message["content"]) + "\n";
    }
  }
  return text;
}

std::uint64_t
CountTokens(const std::string& aText)
{
  return (aText.size() + 3) / 4;
}

std::uint64_t
AnswerLength(const std::string& aPrompt, std::uint64_t aMaxTokens)
{
  static const std::string kHint = "[tokens=";
  const auto at = aPrompt.rfind(kHint);
  if (at == std::string::npos) {
    return aMaxTokens;
  }
  const std::uint64_t hint =
    std::strtoull(aPrompt.c_str() + at + kHint.size(), nullptr, 10);
  return std::min(hint, aMaxTokens);
}

std::string
TokenAt(const std::string& aPrompt, std::uint64_t aIndex)
{
  const std::uint64_t hash =
    (Hash(aPrompt.data(), aPrompt.size(), kFnvOffset) ^ aIndex) * kFnvPrime;
  char text[40];
  std::snprintf(text,
                sizeof text,
                "%llu.%04x ",
                static_cast<unsigned long long>(aIndex),
                static_cast<unsigned>((hash >> 40) & 0xffff));
  return text;
}

std::string
ExpectedAnswer(const std::string& aPrompt, std::uint64_t aMaxTokens)
{
  std::string answer;
  const std::uint64_t length = AnswerLength(aPrompt, aMaxTokens);
  for (std::uint64_t index = 0; index < length; ++index) {
    answer += TokenAt(aPrompt, index);
  }
  return answer;
}

std::vector<std::uint64_t>
BlockHashes(const std::string& aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = kFnvOffset;
  for (std::size_t at = 0; at + kBlockBytes <= aPrompt.size();
       at += kBlockBytes) {
    hash = Hash(aPrompt.data() + at, kBlockBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

} // namespace sycamoreward::standin
