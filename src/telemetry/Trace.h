#pragma once

// Trace spans for the stages of a request and their export as OTLP JSON.
// Tracing never delays a request: spans are buffered up to a maximum, and
// further spans are counted and dropped.

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sycamoreward {

// Span context as carried by the W3C traceparent header.
struct TraceContext
{
  // 32 and 16 hexadecimal digits.
  std::string traceId_;
  std::string spanId_;
  bool isSampled_ = false;
};

// Parses a traceparent header. Empty if it is not valid or not of version 00.
std::optional<TraceContext>
ParseTraceParent(const std::string& aHeader);

std::string
ToTraceParent(const TraceContext& aContext);

struct Span
{
  TraceContext context_;
  // Empty for the first span of a trace.
  std::string parentSpanId_;
  // The stage of the request: "accept", "claim", "choose", "attempt", "hand
  // over", "record".
  std::string name_;
  WallTime start_;
  WallTime end_;
  bool isError_ = false;
  std::map<std::string, std::string> attributes_;
};

// Returns the body of an OTLP/HTTP export request with aSpans
// (ExportTraceServiceRequest as JSON).
std::string
ToOtlpJson(const std::string& aServiceName,
           const std::string& aInstance,
           const std::deque<Span>& aSpans);

struct TracerOptions
{
  // Fraction of the traces started here that are sampled.
  double sampleFraction_ = 0.01;
  // Spans that take longer are kept even if their trace is not sampled.
  Duration slowThreshold_ = std::chrono::seconds(2);
  std::size_t maxBufferedSpans_ = 4096;
};

// Collects the spans of one instance. Must be used on one event loop only.
class Tracer
{
public:
  // aRandom returns uniformly distributed 64-bit numbers.
  Tracer(const Clock& aClock,
         TracerOptions aOptions,
         std::function<std::uint64_t()> aRandom);

  // Begins a child span of aParent, or a new trace if there is no parent.
  Span Begin(const std::string& aName,
             const std::optional<TraceContext>& aParent);

  // Ends a span. The span is kept if its trace is sampled, or if it failed or
  // was slow.
  void End(Span aSpan);

  // Removes and returns the finished spans.
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
