#include "base/BoundedJson.h"

#include <set>
#include <string>
#include <vector>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

bool
IsTooDeep(std::string_view aText)
{
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char character = aText[at];
    if (isInString && character == '\\') {
      ++at;
    } else if (character == '"') {
      isInString = !isInString;
    } else if (!isInString && (character == '[' || character == '{')) {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if (!isInString && (character == ']' || character == '}')) {
      depth -= depth > 0 ? 1 : 0;
    }
  }
  return false;
}

} // namespace

Json
ParseBoundedJson(std::string_view aText)
{
  return IsTooDeep(aText) ? Json(Json::value_t::discarded)
                          : Json::parse(aText, nullptr, false);
}

Json
ParseStrictJson(std::string_view aText)
{
  if (IsTooDeep(aText)) {
    return Json(Json::value_t::discarded);
  }
  std::vector<std::set<std::string>> keys;
  bool hasDuplicate = false;
  auto json = Json::parse(
    aText,
    [&](int, Json::parse_event_t aEvent, Json& aValue) {
      if (aEvent == Json::parse_event_t::object_start) {
        keys.emplace_back();
      } else if (aEvent == Json::parse_event_t::object_end) {
        keys.pop_back();
      } else if (aEvent == Json::parse_event_t::key) {
        const bool isNew =
          keys.back().insert(aValue.get_ref<const std::string&>()).second;
        hasDuplicate = hasDuplicate || !isNew;
      }
      return true;
    },
    false);
  return hasDuplicate ? Json(Json::value_t::discarded) : json;
}

} // namespace sycamoreward
