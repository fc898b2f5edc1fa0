#include "edge/EventSplitter.h"

namespace sycamoreward::edge {

namespace {

constexpr std::string_view kIdField = "id:";

// Length of aText up to and including its last empty line; 0 if there is none.
std::size_t
CompleteLength(std::string_view aText)
{
  const std::size_t lines = aText.rfind("\n\n");
  const std::size_t crLines = aText.rfind("\r\n\r\n");
  std::size_t length = 0;
  if (lines != std::string_view::npos) {
    length = lines + 2;
  }
  if (crLines != std::string_view::npos && crLines + 4 > length) {
    length = crLines + 4;
  }
  return length;
}

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
    if (at == 0 || aEvents[at - 1] == '\n') {
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
  partial_.append(aBytes);
  const std::size_t length = CompleteLength(partial_);
  std::string events = partial_.substr(0, length);
  partial_.erase(0, length);
  const std::string_view id = FindLastId(events);
  if (!id.empty()) {
    lastId_ = id;
  }
  return events;
}

} // namespace sycamoreward::edge
