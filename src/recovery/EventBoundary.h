#pragma once

// Finds where the events of a server-sent event stream end, without parsing
// them. A stream that ends inside an event was broken off.

#include <cstdint>
#include <string_view>

namespace sycamoreward {

// Position in an event stream after the bytes received so far. Lines end with
// CR LF, LF or CR.
struct EventPosition
{
  // Complete events so far.
  std::uint64_t events_ = 0;
  // Bytes since the last boundary: the end of an event, or of a comment that
  // stands between two events.
  std::uint64_t partialBytes_ = 0;
  // Whether the current event has a field already.
  bool hasField_ = false;
  bool isAtLineStart_ = true;
  bool isCommentLine_ = false;
  // A line feed after a carriage return belongs to the same line end.
  bool isAfterCarriageReturn_ = false;
};

inline bool
IsInsideEvent(const EventPosition& aPosition)
{
  return aPosition.partialBytes_ > 0;
}

// A stream whose answer ended in order, by its framing or its connection.
struct StreamEnd
{
  EventPosition position_;
  // Whether the stream began after an earlier event. None may be left then.
  bool isResumed_ = false;
};

// Whether the stream was broken off although its answer ended in order: inside
// an event, or without any event.
bool
IsBrokenOff(const StreamEnd& aEnd);

// Advances aPosition over aBytes. Returns the length of the part of aBytes up
// to the last boundary in it, or 0 if there is none.
std::size_t
AdvanceEvents(EventPosition& aPosition, std::string_view aBytes);

} // namespace sycamoreward
