#pragma once

// The response to GET /v1/addresses.

#include "membership/Member.h"

#include <chrono>

#include <string>

namespace sycamoreward {

// Returns a JSON list of the caller-facing addresses of live members, at most
// aLimit: the own failure domain first, then the own region, then other
// regions. Leaving and suspect members are never listed.
std::string
WriteAddresses(const MemberList& aMembers,
               std::chrono::seconds aTimeToLive,
               std::size_t aLimit);

} // namespace sycamoreward
