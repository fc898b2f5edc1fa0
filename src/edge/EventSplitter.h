#pragma once

// Cuts an event stream at the ends of its events, so that a stream that breaks
// within an event can be resumed behind the last whole one.

#include <string>
#include <string_view>

namespace sycamoreward::edge {

class EventSplitter
{
public:
  // Adds received bytes and returns the whole events that can be passed on.
  std::string Append(std::string_view aBytes);

  // Forgets the bytes of an event that is not whole.
  void DropPartial() { partial_.clear(); }
  bool HasPartial() const { return !partial_.empty(); }

  // Id of the last whole event; empty before the first one with an id.
  const std::string& LastId() const { return lastId_; }

private:
  std::string partial_;
  std::string lastId_;
};

} // namespace sycamoreward::edge
