#include "requests/TraceParent.h"

#include "ledger/Partition.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kParentIdOffset = 36;
constexpr std::size_t kParentDigits = 16;
constexpr std::size_t kFlagsOffset = 53;
constexpr std::size_t kLength = 55;

bool
IsHex(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
  });
}

bool
IsValidId(const std::string& aText)
{
  return IsHex(aText) && aText.find_first_not_of('0') != std::string::npos;
}

} // namespace

TraceParent
ReadTraceParent(const std::string& aHeader,
                const std::function<std::uint64_t()>& aRandom)
{
  TraceParent trace;
  // Later versions of the format may append fields; version ff is invalid.
  const bool isWellFormed = aHeader.size() >= kLength && aHeader[2] == '-' &&
                            aHeader[kParentIdOffset - 1] == '-' &&
                            aHeader[kFlagsOffset - 1] == '-' &&
                            aHeader.compare(0, 2, "ff") != 0;
  if (isWellFormed) {
    trace.traceId_ = aHeader.substr(kTraceIdOffset, kTraceDigits);
    trace.parentId_ = aHeader.substr(kParentIdOffset, kParentDigits);
    trace.flags_ = aHeader.substr(kFlagsOffset, 2);
    if (IsValidId(trace.traceId_) && IsValidId(trace.parentId_) &&
        IsHex(trace.flags_)) {
      return trace;
    }
  }
  // The low bit is set because an id of all zeros is invalid.
  return TraceParent{ HexOf(aRandom()) + HexOf(aRandom() | 1), "", "01" };
}

std::string
WriteTraceParent(const TraceParent& aTrace, std::uint64_t aSpanId)
{
  return "00-" + aTrace.traceId_ + "-" + HexOf(aSpanId | 1) + "-" +
         aTrace.flags_;
}

} // namespace sycamoreward
