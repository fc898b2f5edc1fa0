#include "ledger/Digest.h"

#include "base/Error.h"

#include <openssl/evp.h>

namespace sycamoreward {

std::string
Sha256Hex(std::string_view aData)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (EVP_Digest(
        aData.data(), aData.size(), digest, &size, EVP_sha256(), nullptr) !=
      1) {
    throw InternalError("digest", "", "OpenSSL failed to make a SHA-256.");
  }
  static const char* const kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (unsigned index = 0; index < size; ++index) {
    text += kDigits[digest[index] >> 4];
    text += kDigits[digest[index] & 15];
  }
  return text;
}

} // namespace sycamoreward
