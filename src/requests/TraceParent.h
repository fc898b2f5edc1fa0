#pragma once

// W3C trace context of a request, read from and written to the "traceparent"
// header.

#include <cstdint>
#include <functional>
#include <string>

namespace sycamoreward {

// The fields of a traceparent header.
struct TraceParent
{
  // Trace id, 32 hexadecimal digits.
  std::string traceId_;
  // Span id of the sender, 16 hexadecimal digits; empty for a new trace.
  std::string parentId_;
  // Trace flags, 2 hexadecimal digits.
  std::string flags_ = "01";
};

// Parses a header value. Starts a new trace when it is empty or malformed.
TraceParent
ReadTraceParent(const std::string& aHeader,
                const std::function<std::uint64_t()>& aRandom);

// Returns the header value for a child span with the given span id.
std::string
WriteTraceParent(const TraceParent& aTrace, std::uint64_t aSpanId);

} // namespace sycamoreward
