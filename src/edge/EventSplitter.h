#pragma once

// Splits an event stream at event boundaries, so that a stream that breaks off
// within an event can be resumed after the last complete one.

#include "recovery/EventBoundary.h"

#include <string>
#include <string_view>

namespace sycamoreward::edge {

class EventSplitter
{
public:
  // Appends received bytes and returns the complete events that can be
  // forwarded.
  std::string Append(std::string_view aBytes);

  // Follows bytes that are forwarded as they arrive.
  void Skip(std::string_view aBytes) { AdvanceEvents(position_, aBytes); }

  // Discards the bytes of an incomplete event.
  void DropPartial();
  const EventPosition& Position() const { return position_; }

  // Id of the last complete event that has an id; empty before the first one.
  const std::string& LastId() const { return lastId_; }

private:
  EventPosition position_;
  std::string partial_;
  std::string lastId_;
};

} // namespace sycamoreward::edge
