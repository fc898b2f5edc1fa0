#pragma once

// Splits a server-sent event stream into the data of its events, however the
// bytes are cut into reads.

#include "base/Units.h"

#include <string>
#include <string_view>
#include <vector>

namespace sycamoreward {

class SseParser
{
public:
  // aMaxEvent bounds a line and the data of one event.
  explicit SseParser(Bytes aMaxEvent = Bytes(256 * 1024))
    : maxEvent_(aMaxEvent)
  {
  }

  // Appends the data of each event that aData completes to aEvents. Returns
  // false when a line or an event is longer than the bound; the stream can't be
  // read on then.
  bool Feed(std::string_view aData, std::vector<std::string>& aEvents);

  // Whether the stream stands between two events.
  bool IsBetweenEvents() const { return line_.empty() && !hasData_; }

private:
  bool EndLine(std::vector<std::string>& aEvents);

  Bytes maxEvent_;
  std::string line_;
  std::string data_;
  bool hasData_ = false;
  bool isBroken_ = false;
  bool endedWithCr_ = false;
};

} // namespace sycamoreward
