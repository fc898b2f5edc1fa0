#pragma once

// Structured log on standard output: one JSON object a line for each decision.
// Lines wait in a bounded buffer and are written when the output takes them,
// so that a slow reader never blocks the process; lines that don't fit are
// counted and reported.

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

// Appends fields to a line.
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
  // Lines a second above which only failures are written, and above which
  // nothing is. Chosen so that the log takes under a tenth of the processor
  // time of an instance at its peak.
  std::uint32_t linesPerSecond_ = 60;
  std::uint32_t failureLinesPerSecond_ = 200;
  // Bound of the lines that wait to be written.
  std::size_t bufferBytes_ = 256 * 1024;
};

class DecisionLog
{
public:
  DecisionLog(EventLoop& aLoop, const DecisionLogOptions& aOptions);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  // A line on the course of a request that went well. May be left out.
  void Write(const LogLine& aLine) { Append(aLine, false); }
  // A failure, a refusal or a change of what the process believes.
  void WriteImportant(const LogLine& aLine) { Append(aLine, true); }

  std::uint64_t Dropped() const { return dropped_; }
  // Writes what the output takes without waiting.
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
