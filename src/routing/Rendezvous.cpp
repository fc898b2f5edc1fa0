#include "routing/Rendezvous.h"

#include <xxhash.h>

namespace sycamoreward {

std::uint64_t
RendezvousScore(std::string_view aMember, std::uint64_t aKey)
{
  return XXH64(aMember.data(), aMember.size(), aKey);
}

} // namespace sycamoreward
