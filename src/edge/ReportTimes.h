#pragma once

// Intervals of the reports that the parts of ReportExchange share.

#include "base/Clock.h"

namespace sycamoreward::edge {

// Interval of the reports to collectors. A digest costs an instance of a tenth
// of a core about a millisecond for a hundred servers.
constexpr Duration kCollectorInterval = std::chrono::milliseconds(1000);

constexpr Duration kCollectedPeerTimeout = std::chrono::milliseconds(3500);

// A silent instance is taken to be gone after this time.
constexpr Duration kPeerGoneTimeout = std::chrono::seconds(12);

} // namespace sycamoreward::edge
