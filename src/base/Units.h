#pragma once

// Units of amounts used by several components. Durations use std::chrono.

#include "base/StrongType.h"

#include <cstdint>

namespace sycamoreward {

// Amount of data.
using Bytes = StrongType<struct BytesTag, std::uint64_t>;

// Requests per second.
using RequestRate = StrongType<struct RequestRateTag, double>;

// Amount of model input or output.
using Tokens = StrongType<struct TokensTag, std::uint64_t>;

} // namespace sycamoreward
