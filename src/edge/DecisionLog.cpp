#include "edge/DecisionLog.h"

#include "runtime/EventLoop.h"

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace sycamoreward::edge {

namespace {

// Lines are batched for this time, so that one system call writes many of them.
constexpr Duration kFlushDelay = std::chrono::milliseconds(200);

void
AppendQuoted(std::string& aText, std::string_view aValue)
{
  constexpr char kDigits[] = "0123456789abcdef";
  aText.push_back('"');
  for (const char character : aValue) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte == '"' || byte == '\\') {
      aText.push_back('\\');
      aText.push_back(character);
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Bytes outside ASCII are written as Latin-1, which keeps the line valid
      // JSON whatever a caller sent.
      aText.append("\\u00");
      aText.push_back(kDigits[byte / 16]);
      aText.push_back(kDigits[byte % 16]);
    } else {
      aText.push_back(character);
    }
  }
  aText.push_back('"');
}

} // namespace

LogLine::LogLine(std::string_view aEvent)
  : text_("\"event\":")
{
  AppendQuoted(text_, aEvent);
}

void
LogLine::AddName(std::string_view aName)
{
  text_.push_back(',');
  AppendQuoted(text_, aName);
  text_.push_back(':');
}

LogLine&
LogLine::Add(std::string_view aName, std::string_view aValue)
{
  AddName(aName);
  AppendQuoted(text_, aValue);
  return *this;
}

LogLine&
LogLine::Add(std::string_view aName, double aValue)
{
  AddName(aName);
  char digits[32];
  std::snprintf(
    digits, sizeof digits, "%.6g", std::isfinite(aValue) ? aValue : 0.0);
  text_.append(digits);
  return *this;
}

LogLine&
LogLine::Add(std::string_view aName, std::uint64_t aValue)
{
  AddName(aName);
  text_.append(std::to_string(aValue));
  return *this;
}

LogLine&
LogLine::Add(std::string_view aName, int aValue)
{
  AddName(aName);
  text_.append(std::to_string(aValue));
  return *this;
}

LogLine&
LogLine::Add(std::string_view aName, bool aValue)
{
  AddName(aName);
  text_.append(aValue ? "true" : "false");
  return *this;
}

DecisionLog::DecisionLog(EventLoop& aLoop, const DecisionLogOptions& aOptions)
  : loop_(aLoop)
  , options_(aOptions)
  , secondStart_(aLoop.GetClock().Now())
{
  const int flags = fcntl(options_.descriptor_, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(options_.descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

DecisionLog::~DecisionLog()
{
  loop_.CancelTimer(flushTimer_);
  Flush();
}

bool
DecisionLog::ReserveLine(bool aIsImportant)
{
  const MonotonicTime now = loop_.GetClock().Now();
  if (now - secondStart_ >= std::chrono::seconds(1)) {
    secondStart_ = now;
    linesThisSecond_ = 0;
  }
  const std::uint32_t limit =
    aIsImportant ? options_.failureLinesPerSecond_ : options_.linesPerSecond_;
  if (linesThisSecond_ >= limit) {
    ++dropped_;
    return false;
  }
  ++linesThisSecond_;
  return true;
}

void
DecisionLog::ReportDropped()
{
  if (dropped_ == reportedDropped_) {
    return;
  }
  LogLine line("log_dropped");
  line.Add("lines", std::uint64_t(dropped_ - reportedDropped_));
  reportedDropped_ = dropped_;
  buffer_.append("{").append(line.Text()).append("}\n");
}

void
DecisionLog::Append(const LogLine& aLine, bool aIsImportant)
{
  if (!ReserveLine(aIsImportant)) {
    return;
  }
  if (buffer_.size() + aLine.Text().size() > options_.bufferBytes_) {
    ++dropped_;
    return;
  }
  const auto wall = loop_.GetClock().Wall().time_since_epoch().count();
  buffer_.append("{\"timeUs\":")
    .append(std::to_string(wall))
    .append(",")
    .append(aLine.Text())
    .append("}\n");
  if (flushTimer_ == 0) {
    flushTimer_ = loop_.CallAfter(kFlushDelay, [this] {
      flushTimer_ = 0;
      ReportDropped();
      Flush();
    });
  }
}

void
DecisionLog::Flush()
{
  if (buffer_.empty()) {
    return;
  }
  const ssize_t count =
    write(options_.descriptor_, buffer_.data(), buffer_.size());
  if (count > 0) {
    buffer_.erase(0, std::size_t(count));
  } else if (count < 0 && errno != EAGAIN && errno != EINTR) {
    // The log can no longer be written.
    buffer_.clear();
  }
  if (!buffer_.empty() && flushTimer_ == 0) {
    flushTimer_ = loop_.CallAfter(kFlushDelay, [this] {
      flushTimer_ = 0;
      Flush();
    });
  }
}

} // namespace sycamoreward::edge
