#include "edge/EdgeMetrics.h"

#include "base/DurationUnits.h"

#include <prometheus/text_serializer.h>

namespace sycamoreward::edge {

namespace {

const prometheus::Histogram::BucketBoundaries&
TimeBoundaries()
{
  static const prometheus::Histogram::BucketBoundaries kBoundaries{
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16
  };
  return kBoundaries;
}

} // namespace

EdgeMetrics::EdgeMetrics()
  : ends_(prometheus::BuildCounter()
            .Name("sycamoreward_requests_total")
            .Help("Requests that ended, by service and reason.")
            .Register(registry_))
  , attempts_(prometheus::BuildCounter()
                .Name("sycamoreward_attempts_total")
                .Help("Requests sent to backend servers, by cause.")
                .Register(registry_))
  , firstByte_(prometheus::BuildHistogram()
                 .Name("sycamoreward_first_byte_seconds")
                 .Help("From the read request to its first answer byte.")
                 .Register(registry_))
  , total_(prometheus::BuildHistogram()
             .Name("sycamoreward_answer_seconds")
             .Help("From the read request to the end of its answer.")
             .Register(registry_))
  , expectedWait_(prometheus::BuildHistogram()
                    .Name("sycamoreward_expected_wait_seconds")
                    .Help("Wait that placement expected.")
                    .Register(registry_))
  , state_(prometheus::BuildGauge()
             .Name("sycamoreward_state")
             .Help("Values of the instance, by name.")
             .Register(registry_))
{
}

void
EdgeMetrics::CountEnd(const ServiceName& aService, const std::string& aReason)
{
  ends_.Add({ { "service", aService.Value() }, { "reason", aReason } })
    .Increment();
}

void
EdgeMetrics::CountAttempt(const ServiceName& aService,
                          const std::string& aReason)
{
  attempts_.Add({ { "service", aService.Value() }, { "cause", aReason } })
    .Increment();
}

void
EdgeMetrics::ObserveFirstByte(const ServiceName& aService, Duration aTime)
{
  firstByte_.Add({ { "service", aService.Value() } }, TimeBoundaries())
    .Observe(Seconds(aTime));
}

void
EdgeMetrics::ObserveTotal(const ServiceName& aService, Duration aTime)
{
  total_.Add({ { "service", aService.Value() } }, TimeBoundaries())
    .Observe(Seconds(aTime));
}

void
EdgeMetrics::ObserveExpectedWait(const ServiceName& aService,
                                 double aMilliseconds)
{
  expectedWait_.Add({ { "service", aService.Value() } }, TimeBoundaries())
    .Observe(aMilliseconds / 1000);
}

void
EdgeMetrics::Set(const std::string& aName, double aValue)
{
  state_.Add({ { "name", aName } }).Set(aValue);
}

std::string
EdgeMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace sycamoreward::edge
