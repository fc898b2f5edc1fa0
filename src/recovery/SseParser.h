#pragma once

// Parser for server-sent event streams. Returns the data of each event,
// independent of how the stream is split into reads.

#include "base/Units.h"

#include <string>
#include <string_view>
#include <vector>

namespace sycamoreward {

class SseParser
{
public:
  // aMaxEvent is the maximum size of a line and of the data of an event.
  explicit SseParser(Bytes aMaxEvent = Bytes(256 * 1024))
    : maxEvent_(aMaxEvent)
  {
  }

  // Parses aData and appends the data of each completed event to aEvents.
  // Returns false if a line or an event exceeds the maximum size; all further
  // calls then fail, too.
  bool Feed(std::string_view aData, std::vector<std::string>& aEvents);

  // Whether the parser is between two events, with no partial line or event
  // pending.
  bool IsBetweenEvents() const { return line_.empty() && !hasData_; }

private:
  // Handles a complete line. Returns false if the event's data exceeds the
  // maximum size.
  bool EndLine(std::vector<std::string>& aEvents);

  Bytes maxEvent_;
  std::string line_;
  std::string data_;
  bool hasData_ = false;
  bool isBroken_ = false;
  bool endedWithCr_ = false;
};

} // namespace sycamoreward
