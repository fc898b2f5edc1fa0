#pragma once

// Bounds what is kept of answers that callers read more slowly than servers
// send them.

#include <algorithm>
#include <cstddef>

namespace sycamoreward::edge {

// Bytes for all answers of an instance whose memory is not known.
constexpr std::size_t kDefaultStreamedBytes = 32 * 1024 * 1024;
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
constexpr std::size_t kMinUnsentBytes = 16 * 1024;

// Reading from a server pauses above this number of bytes not yet sent to the
// caller, while aRequests are in progress. aAll is the bound for all of them.
inline std::size_t
MaxUnsentBytes(std::size_t aRequests, std::size_t aAll)
{
  return std::clamp(aAll / std::max<std::size_t>(aRequests, 1),
                    kMinUnsentBytes,
                    kMaxUnsentBytes);
}

} // namespace sycamoreward::edge
