#pragma once

// The row with which an entry instance makes itself known in the store.

#include "membership/Member.h"

#include <optional>
#include <string>

namespace sycamoreward::edge {

std::string
EncodeMember(const PeerIdentity& aIdentity);

// Empty when the row can't be read.
std::optional<PeerIdentity>
DecodeMember(const std::string& aValue);

} // namespace sycamoreward::edge
