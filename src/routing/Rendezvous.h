#pragma once

// Rendezvous (highest random weight) hashing. All instances compute the same
// scores.

#include <cstdint>
#include <string_view>

namespace sycamoreward {

// Score of aMember for aKey. The member with the highest score ranks first.
std::uint64_t
RendezvousScore(std::string_view aMember, std::uint64_t aKey);

} // namespace sycamoreward
