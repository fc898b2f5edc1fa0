#pragma once

// W3C trace context of a request, read from and sent on in "traceparent".

#include <cstdint>
#include <functional>
#include <string>

namespace sycamoreward {

struct TraceParent
{
  // 32 hexadecimal digits.
  std::string traceId_;
  // Span of the sender, 16 hexadecimal digits; empty for a new trace.
  std::string parentId_;
  // 2 hexadecimal digits.
  std::string flags_ = "01";
};

// Reads a header value; a new trace begins when it is missing or malformed.
TraceParent
ReadTraceParent(const std::string& aHeader,
                const std::function<std::uint64_t()>& aRandom);

// The header for a child with a new span id.
std::string
WriteTraceParent(const TraceParent& aTrace, std::uint64_t aSpanId);

} // namespace sycamoreward
