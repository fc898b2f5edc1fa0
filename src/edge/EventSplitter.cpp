#include "edge/EventSplitter.h"

namespace sycamoreward::edge {

namespace {

constexpr std::string_view kIdField = "id:";

// The value of the last id field in aEvents, which are complete events; empty
// if there is none.
std::string_view
FindLastId(std::string_view aEvents)
{
  std::size_t at = aEvents.size();
  while (at != 0) {
    at = aEvents.rfind(kIdField, at - 1);
    if (at == std::string_view::npos) {
      return {};
    }
    if (at == 0 || aEvents[at - 1] == '\n' || aEvents[at - 1] == '\r') {
      std::string_view value = aEvents.substr(at + kIdField.size());
      value = value.substr(0, value.find_first_of("\r\n"));
      if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
      }
      return value;
    }
  }
  return {};
}

} // namespace

std::string
EventSplitter::Append(std::string_view aBytes)
{
  const std::size_t length = AdvanceEvents(position_, aBytes);
  if (length == 0) {
    partial_.append(aBytes);
    return {};
  }
  std::string events = std::move(partial_);
  events.append(aBytes.substr(0, length));
  partial_ = aBytes.substr(length);
  const std::string_view id = FindLastId(events);
  if (!id.empty()) {
    lastId_ = id;
  }
  return events;
}

void
EventSplitter::DropPartial()
{
  partial_.clear();
  const std::uint64_t events = position_.events_;
  position_ = {};
  position_.events_ = events;
}

} // namespace sycamoreward::edge
