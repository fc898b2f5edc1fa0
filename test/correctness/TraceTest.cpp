// Tests of trace contexts, sampling and the OTLP export of spans.

#include "telemetry/Trace.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace sycamoreward;

namespace {

Tracer
MakeTracer(const Clock& aClock, TracerOptions aOptions)
{
  return Tracer(aClock, aOptions, [state = std::uint64_t(7)]() mutable {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state;
  });
}

} // namespace

Test(Trace, ParentContextRoundTrips)
{
  const std::string header =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto context = ParseTraceParent(header);
  cr_assert(context.has_value());
  cr_assert(context->isSampled_);
  cr_assert_eq(ToTraceParent(*context), header);
}

// A malformed header must be refused, so that a new trace is started and the
// export contains no invalid ids.
Test(Trace, MalformedContextIsRefused)
{
  for (const char* header :
       { "",
         "00-xyz",
         "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
         "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
         "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
         "00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" }) {
    cr_assert_not(ParseTraceParent(header).has_value(), "%s", header);
  }
}

Test(Trace, FailedAndSlowSpansAreKeptWithoutSampling)
{
  ManualClock clock;
  TracerOptions options;
  options.sampleFraction_ = 0;
  Tracer tracer = MakeTracer(clock, options);
  tracer.End(tracer.Begin("accept", std::nullopt));
  Span failed = tracer.Begin("accept", std::nullopt);
  failed.isError_ = true;
  tracer.End(failed);
  const Span slow = tracer.Begin("accept", std::nullopt);
  clock.Advance(std::chrono::seconds(3));
  tracer.End(slow);
  cr_assert_eq(tracer.Take().size(), 2U);
}

Test(Trace, FullBufferDropsAndCounts)
{
  ManualClock clock;
  TracerOptions options;
  options.sampleFraction_ = 1;
  options.maxBufferedSpans_ = 2;
  Tracer tracer = MakeTracer(clock, options);
  for (int count = 0; count < 5; ++count) {
    tracer.End(tracer.Begin("accept", std::nullopt));
  }
  cr_assert_eq(tracer.DroppedSpans(), 3U);
  const auto document =
    nlohmann::json::parse(ToOtlpJson("sycamoreward", "i-1", tracer.Take()));
  cr_assert_eq(document["resourceSpans"][0]["scopeSpans"][0]["spans"].size(),
               2U);
}
