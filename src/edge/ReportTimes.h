#pragma once

// Intervals and timeouts that the parts of ReportExchange share.

#include "base/Clock.h"

namespace sycamoreward::edge {

// Interval of the reports to collectors. Processing a digest for a hundred
// servers takes about a millisecond on an instance with a tenth of a core.
constexpr Duration kCollectorInterval = std::chrono::milliseconds(1000);

// Time after which a call for a digest counts as unanswered. A digest takes
// some milliseconds. With a timeout of a second, instances partitioned from
// their collector learned of leaving servers too late.
constexpr Duration kDigestTimeout = std::chrono::milliseconds(350);

// Time without a report or digest after which an instance counts as silent when
// instances report to collectors.
constexpr Duration kCollectedPeerTimeout = std::chrono::milliseconds(3500);

// Time after which a silent instance is assumed to be gone.
constexpr Duration kPeerGoneTimeout = std::chrono::seconds(12);

} // namespace sycamoreward::edge
