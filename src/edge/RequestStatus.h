#pragma once

// HTTP status codes and delays shared by the parts of RequestRun.

#include "base/Clock.h"
#include "http/RunPromise.h"

namespace sycamoreward::edge {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
using http::kBadGateway;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Retry-After while no deployment or no server is known. An instance that has
// just started learns them within this time.
constexpr Duration kStartingRetryAfter = std::chrono::milliseconds(400);

} // namespace sycamoreward::edge
