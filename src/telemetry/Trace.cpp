#include "telemetry/Trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// "00-" trace id "-" span id "-" flags.
constexpr std::size_t kTraceParentLength = 55;

bool
IsHex(const std::string& aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool
IsZero(const std::string& aText)
{
  return aText.find_first_not_of('0') == std::string::npos;
}

std::string
Nanoseconds(WallTime aTime)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                          aTime.time_since_epoch())
                          .count());
}

nlohmann::json
Attribute(const std::string& aKey, const std::string& aValue)
{
  return { { "key", aKey }, { "value", { { "stringValue", aValue } } } };
}

nlohmann::json
ToJson(const Span& aSpan)
{
  // Values of the OTLP enumerations.
  constexpr int kServerKind = 2;
  constexpr int kInternalKind = 1;
  constexpr int kErrorStatus = 2;
  nlohmann::json json = {
    { "traceId", aSpan.context_.traceId_ },
    { "spanId", aSpan.context_.spanId_ },
    { "name", aSpan.name_ },
    { "kind", aSpan.name_ == "accept" ? kServerKind : kInternalKind },
    { "startTimeUnixNano", Nanoseconds(aSpan.start_) },
    { "endTimeUnixNano", Nanoseconds(aSpan.end_) }
  };
  if (!aSpan.parentSpanId_.empty()) {
    json["parentSpanId"] = aSpan.parentSpanId_;
  }
  if (aSpan.isError_) {
    json["status"] = { { "code", kErrorStatus } };
  }
  json["attributes"] = nlohmann::json::array();
  for (const auto& [key, value] : aSpan.attributes_) {
    json["attributes"].push_back(Attribute(key, value));
  }
  return json;
}

} // namespace

std::optional<TraceContext>
ParseTraceParent(const std::string& aHeader)
{
  if (aHeader.size() != kTraceParentLength || aHeader.substr(0, 3) != "00-" ||
      aHeader[35] != '-' || aHeader[52] != '-') {
    return std::nullopt;
  }
  const std::string traceId = aHeader.substr(3, kTraceIdDigits);
  const std::string spanId = aHeader.substr(36, kSpanIdDigits);
  const std::string flags = aHeader.substr(53);
  if (!IsHex(traceId) || !IsHex(spanId) || !IsHex(flags) || IsZero(traceId) ||
      IsZero(spanId)) {
    return std::nullopt;
  }
  const bool isSampled = (std::stoi(flags, nullptr, 16) & 1) != 0;
  return TraceContext{ traceId, spanId, isSampled };
}

std::string
ToTraceParent(const TraceContext& aContext)
{
  return "00-" + aContext.traceId_ + "-" + aContext.spanId_ +
         (aContext.isSampled_ ? "-01" : "-00");
}

std::string
ToOtlpJson(const std::string& aServiceName,
           const std::string& aInstance,
           const std::deque<Span>& aSpans)
{
  nlohmann::json spans = nlohmann::json::array();
  for (const Span& span : aSpans) {
    spans.push_back(ToJson(span));
  }
  const nlohmann::json attributes = { Attribute("service.name", aServiceName),
                                      Attribute("service.instance.id",
                                                aInstance) };
  const nlohmann::json scope = { { "scope", { { "name", "sycamoreward" } } },
                                 { "spans", spans } };
  const nlohmann::json resource = {
    { "resource", { { "attributes", attributes } } },
    { "scopeSpans", nlohmann::json::array({ scope }) }
  };
  return nlohmann::json{
    { "resourceSpans", nlohmann::json::array({ resource }) }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Tracer::Tracer(const Clock& aClock,
               TracerOptions aOptions,
               std::function<std::uint64_t()> aRandom)
  : clock_(aClock)
  , options_(aOptions)
  , random_(std::move(aRandom))
{
}

std::string
Tracer::RandomHex(unsigned aDigits)
{
  static const char* const kDigits = "0123456789abcdef";
  std::string text;
  std::uint64_t bits = 0;
  for (unsigned digit = 0; digit < aDigits; ++digit) {
    if (digit % 16 == 0) {
      bits = random_();
    }
    text.push_back(kDigits[bits & 15]);
    bits >>= 4;
  }
  return text;
}

Span
Tracer::Begin(const std::string& aName,
              const std::optional<TraceContext>& aParent)
{
  Span span;
  span.name_ = aName;
  span.start_ = clock_.Wall();
  if (aParent) {
    span.context_ = *aParent;
    span.parentSpanId_ = aParent->spanId_;
  } else {
    span.context_.traceId_ = RandomHex(kTraceIdDigits);
    // The top 53 bits give a uniformly distributed number from 0 to 1.
    const double sample = static_cast<double>(random_() >> 11) / 0x1p53;
    span.context_.isSampled_ = sample < options_.sampleFraction_;
  }
  span.context_.spanId_ = RandomHex(kSpanIdDigits);
  return span;
}

void
Tracer::End(Span aSpan)
{
  aSpan.end_ = clock_.Wall();
  const bool isSlow = aSpan.end_ - aSpan.start_ > options_.slowThreshold_;
  if (!aSpan.context_.isSampled_ && !aSpan.isError_ && !isSlow) {
    return;
  }
  if (finished_.size() >= options_.maxBufferedSpans_) {
    ++dropped_;
    return;
  }
  finished_.push_back(std::move(aSpan));
}

std::deque<Span>
Tracer::Take()
{
  return std::exchange(finished_, {});
}

} // namespace sycamoreward
