#pragma once

// Encodes and decodes the store row with which an entry instance registers as a
// member.

#include "membership/Member.h"

#include <optional>
#include <string>

namespace sycamoreward::edge {

std::string
EncodeMember(const PeerIdentity& aIdentity);

// Returns nothing if the row is malformed.
std::optional<PeerIdentity>
DecodeMember(const std::string& aValue);

} // namespace sycamoreward::edge
