#include "edge/Fingerprint.h"

#include <xxhash.h>

#include <cstdio>
#include <cstdlib>

namespace sycamoreward::edge {

namespace {

// Set in fingerprints of requests only.
constexpr std::uint64_t kRequestBit = std::uint64_t(1) << 63;

} // namespace

bool
IsRequest(Fingerprint aFingerprint)
{
  return (aFingerprint.Value() & kRequestBit) != 0;
}

std::vector<Fingerprint>
PromptFingerprints(const std::vector<PromptPart>& aParts)
{
  std::vector<Fingerprint> fingerprints;
  for (std::size_t index = 0; index + 1 < aParts.size(); ++index) {
    fingerprints.emplace_back(aParts[index].id_ & ~kRequestBit);
  }
  return fingerprints;
}

Fingerprint
RequestFingerprint(const http::RequestHead& aHead,
                   const std::string& aBody,
                   const std::string& aHost,
                   const std::string& aWorkspace)
{
  std::uint64_t hash = 0;
  for (const std::string* text :
       { &aHead.method_, &aHost, &aHead.target_, &aWorkspace, &aBody }) {
    // The hash of each text is the seed of the next one.
    hash = XXH64(text->data(), text->size(), hash);
  }
  return Fingerprint(hash | kRequestBit);
}

std::string
ToText(const std::vector<Fingerprint>& aFingerprints)
{
  std::string text;
  for (const Fingerprint& fingerprint : aFingerprints) {
    char digits[20];
    std::snprintf(digits,
                  sizeof digits,
                  "%llx",
                  static_cast<unsigned long long>(fingerprint.Value()));
    text += text.empty() ? digits : std::string(",") + digits;
  }
  return text;
}

std::optional<Fingerprint>
ParseFingerprint(const std::string& aText)
{
  constexpr std::size_t kMaxDigits = 16;
  if (aText.empty() || aText.size() > kMaxDigits ||
      aText.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return std::nullopt;
  }
  return Fingerprint(std::strtoull(aText.c_str(), nullptr, 16));
}

} // namespace sycamoreward::edge
