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

  // A request ended; aReason is one of a fixed list, such as "completed".
  void CountEnd(const ServiceName& aService, const std::string& aReason);
  // A request was sent to a server; aReason says why, such as "first".
  void CountAttempt(const ServiceName& aService, const std::string& aReason);
  // Time from the read request to the first byte of its answer, and to its
  // last one.
  void ObserveFirstByte(const ServiceName& aService, Duration aTime);
  void ObserveTotal(const ServiceName& aService, Duration aTime);
  // Time that placement expected until the answer began.
  void ObserveExpectedWait(const ServiceName& aService, double aMilliseconds);
  // A value that is read when the metrics are asked for.
  void Set(const std::string& aName, double aValue);

  // Prometheus text format.
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
