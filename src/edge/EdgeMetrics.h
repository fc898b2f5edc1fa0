#pragma once

// Counters and latency histograms of one instance.

#include "base/Clock.h"
#include "base/Ids.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace sycamoreward::edge {

class EdgeMetrics
{
public:
  EdgeMetrics();

  // Counts a request that ended. aReason is one of a fixed set, such as
  // "completed".
  void CountEnd(const ServiceName& aService, const std::string& aReason);
  // Counts a request that was sent to a server. aReason is the cause of the
  // attempt, such as "first".
  void CountAttempt(const ServiceName& aService, const std::string& aReason);
  // Observe the time from reading the request to the first and to the last byte
  // of its answer.
  void ObserveFirstByte(const ServiceName& aService, Duration aTime);
  void ObserveTotal(const ServiceName& aService, Duration aTime);
  // Observes the wait until the start of the answer that placement expected.
  void ObserveExpectedWait(const ServiceName& aService, double aMilliseconds);
  // Sets the gauge of an instance value. Values are set when the metrics are
  // read.
  void Set(const std::string& aName, double aValue);

  // All metrics in Prometheus text format.
  std::string Text() const;

private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& ends_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Histogram>& firstByte_;
  prometheus::Family<prometheus::Histogram>& total_;
  prometheus::Family<prometheus::Histogram>& expectedWait_;
  prometheus::Family<prometheus::Gauge>& state_;
};

} // namespace sycamoreward::edge
