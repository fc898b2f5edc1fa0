#pragma once

// Structured log on standard output, with one JSON object per line for each
// decision. Lines are kept in a bounded buffer and written without blocking, so
// that a slow reader never blocks the process. Lines that don't fit are counted
// and reported.

#include "base/Clock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct event;

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::edge {

// Builds one log line by appending fields to it.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  LogLine& Add(std::string_view aName, std::string_view aValue);
  LogLine& Add(std::string_view aName, const char* aValue)
  {
    return Add(aName, std::string_view(aValue));
  }
  LogLine& Add(std::string_view aName, double aValue);
  LogLine& Add(std::string_view aName, std::uint64_t aValue);
  LogLine& Add(std::string_view aName, int aValue);
  LogLine& Add(std::string_view aName, bool aValue);

  const std::string& Text() const { return text_; }

private:
  void AddName(std::string_view aName);
  std::string text_;
};

struct DecisionLogOptions
{
  int descriptor_ = 1;
  // Above linesPerSecond_ only important lines are written, and above
  // failureLinesPerSecond_ none. At these limits the log uses less than a tenth
  // of an instance's CPU time at peak load.
  std::uint32_t linesPerSecond_ = 60;
  std::uint32_t failureLinesPerSecond_ = 200;
  // Maximum size of the lines that wait to be written.
  std::size_t bufferBytes_ = 256 * 1024;
};

class DecisionLog
{
public:
  DecisionLog(EventLoop& aLoop, const DecisionLogOptions& aOptions);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  // Writes a line about normal operation. Dropped first when the log is busy.
  void Write(const LogLine& aLine) { Append(aLine, false); }
  // Writes a line about a failure, a refusal or a change of the instance's
  // state.
  void WriteImportant(const LogLine& aLine) { Append(aLine, true); }

  std::uint64_t Dropped() const { return dropped_; }
  // Writes as much of the buffer as the output accepts without blocking.
  void Flush();

private:
  void Append(const LogLine& aLine, bool aIsImportant);
  bool ReserveLine(bool aIsImportant);
  void ReportDropped();

  EventLoop& loop_;
  DecisionLogOptions options_;
  std::string buffer_;
  std::uint64_t flushTimer_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reportedDropped_ = 0;
  MonotonicTime secondStart_;
  std::uint32_t linesThisSecond_ = 0;
};

} // namespace sycamoreward::edge
