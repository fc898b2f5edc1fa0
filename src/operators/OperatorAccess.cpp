#include "operators/OperatorAccess.h"

#include "base/Digest.h"

#include <openssl/crypto.h>

namespace sycamoreward {

std::optional<OperatorRole>
FindOperatorRole(const std::vector<OperatorSettings>& aOperators,
                 const HttpHeaders& aHeaders)
{
  static const std::string kScheme = "Bearer ";
  const std::string header = FindHeader(aHeaders, "Authorization");
  if (header.compare(0, kScheme.size(), kScheme) != 0) {
    return std::nullopt;
  }
  const std::string digest = Sha256Hex(header.substr(kScheme.size()));
  std::optional<OperatorRole> role;
  for (const OperatorSettings& candidate : aOperators) {
    if (candidate.tokenDigest_.size() == digest.size() &&
        CRYPTO_memcmp(
          candidate.tokenDigest_.data(), digest.data(), digest.size()) == 0) {
      role = candidate.role_;
    }
  }
  return role;
}

} // namespace sycamoreward
