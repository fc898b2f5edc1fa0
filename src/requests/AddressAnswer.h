#pragma once

// The answer to GET /v1/addresses.

#include "membership/Member.h"

#include <chrono>

#include <string>

namespace sycamoreward {

// JSON with the callers' addresses of live members of the own region and of
// others: own failure domain first, then own region. Leaving and suspect
// members are never listed; at most aLimit addresses.
std::string
WriteAddresses(const MemberList& aMembers,
               std::chrono::seconds aTimeToLive,
               std::size_t aLimit);

} // namespace sycamoreward
