#pragma once

// Bounds what is kept of answers that callers read more slowly than servers
// send them.

#include <algorithm>
#include <cstddef>

namespace sycamoreward::edge {

// Bytes for all answers of an instance together. The smallest instances have
// 160 MB of memory.
constexpr std::size_t kMaxUnsentOfAll = 32 * 1024 * 1024;
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
constexpr std::size_t kMinUnsentBytes = 16 * 1024;

// Reading from a server pauses above this number of bytes not yet sent to the
// caller, while aRequests are in progress.
inline std::size_t
MaxUnsentBytes(std::size_t aRequests)
{
  return std::clamp(kMaxUnsentOfAll / std::max<std::size_t>(aRequests, 1),
                    kMinUnsentBytes,
                    kMaxUnsentBytes);
}

} // namespace sycamoreward::edge
