#include "requests/RequestDigest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace sycamoreward {

std::string
DigestOf(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(
    reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest);
  std::string text;
  text.reserve(2 * sizeof digest);
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::string
DigestOf(const std::vector<std::string_view>& aParts)
{
  std::string joined;
  for (const std::string_view part : aParts) {
    joined += std::to_string(part.size());
    joined += ':';
    joined += part;
  }
  return DigestOf(joined);
}

bool
IsSameDigest(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace sycamoreward
