#pragma once

// Rendezvous hashing: the rank of a member for a key, the same on each
// instance.

#include <cstdint>
#include <string_view>

namespace sycamoreward {

std::uint64_t
RendezvousScore(std::string_view aMember, std::uint64_t aKey);

} // namespace sycamoreward
