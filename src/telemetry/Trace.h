#pragma once

// Spans of a request's hops and their export as OTLP JSON. Spans never hold up
// a request: the buffer is bounded, and spans beyond it are counted and
// dropped.

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sycamoreward {

// Context of a span as the W3C traceparent header carries it.
struct TraceContext
{
  // 32 and 16 hexadecimal digits.
  std::string traceId_;
  std::string spanId_;
  bool isSampled_ = false;
};

// Empty when aHeader is not a valid traceparent of version 00.
std::optional<TraceContext>
ParseTraceParent(const std::string& aHeader);

std::string
ToTraceParent(const TraceContext& aContext);

struct Span
{
  TraceContext context_;
  // Empty for the first span of a trace.
  std::string parentSpanId_;
  // The hop: "accept", "claim", "choose", "attempt", "hand over", "record".
  std::string name_;
  WallTime start_;
  WallTime end_;
  bool isError_ = false;
  std::map<std::string, std::string> attributes_;
};

// Body of an OTLP/HTTP request with aSpans (ExportTraceServiceRequest in its
// JSON form).
std::string
ToOtlpJson(const std::string& aServiceName,
           const std::string& aInstance,
           const std::deque<Span>& aSpans);

struct TracerOptions
{
  // Part of the requests without a sampled context that are kept.
  double sampleFraction_ = 0.01;
  // Requests that take longer are kept whatever the sampling says.
  Duration slowThreshold_ = std::chrono::seconds(2);
  std::size_t maxBufferedSpans_ = 4096;
};

// Collects the spans of one instance. Used on one loop.
class Tracer
{
public:
  // aRandom gives uniform 64-bit numbers.
  Tracer(const Clock& aClock,
         TracerOptions aOptions,
         std::function<std::uint64_t()> aRandom);

  // Begins a span below aParent, or a new trace without one.
  Span Begin(const std::string& aName,
             const std::optional<TraceContext>& aParent);

  // Ends a span and keeps it when its trace is sampled, or when it failed or
  // was slow.
  void End(Span aSpan);

  // Takes the finished spans.
  std::deque<Span> Take();

  std::uint64_t DroppedSpans() const { return dropped_; }

private:
  std::string RandomHex(unsigned aDigits);

  const Clock& clock_;
  TracerOptions options_;
  std::function<std::uint64_t()> random_;
  std::deque<Span> finished_;
  std::uint64_t dropped_ = 0;
};

} // namespace sycamoreward
