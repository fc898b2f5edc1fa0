#pragma once

// Splits an event stream at event boundaries, so that a stream that breaks off
// within an event can be resumed after the last complete one.

#include <string>
#include <string_view>

namespace sycamoreward::edge {

class EventSplitter
{
public:
  // Appends received bytes and returns the complete events that can be
  // forwarded.
  std::string Append(std::string_view aBytes);

  // Discards the bytes of an incomplete event.
  void DropPartial() { partial_.clear(); }
  bool HasPartial() const { return !partial_.empty(); }
  std::size_t PartialBytes() const { return partial_.size(); }

  // Id of the last complete event that has an id; empty before the first one.
  const std::string& LastId() const { return lastId_; }

private:
  std::string partial_;
  std::string lastId_;
};

} // namespace sycamoreward::edge
