// Fuzzes the parser of the traceparent header. Guards against forwarding a
// malformed header.

#include "requests/TraceParent.h"

#include <cstdlib>

using namespace sycamoreward;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  const std::string header(reinterpret_cast<const char*>(aData), aSize);
  const auto random = [] { return std::uint64_t(7); };
  const TraceParent trace = ReadTraceParent(header, random);
  const TraceParent child = ReadTraceParent(WriteTraceParent(trace, 5), random);
  if (child.traceId_ != trace.traceId_ || child.flags_ != trace.flags_ ||
      child.parentId_ != "0000000000000005") {
    std::abort();
  }
  return 0;
}
