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

// Checks a document before it is parsed into a tree. The callbacks of
// Json::parse would do, but then each value of an array costs a look at all
// values before it.
class StrictCheck final : public nlohmann::json_sax<Json>
{
public:
  bool null() override { return CountValue(); }
  bool boolean(bool /*aValue*/) override { return CountValue(); }
  bool number_integer(std::int64_t /*aValue*/) override { return CountValue(); }
  bool number_unsigned(std::uint64_t /*aValue*/) override
  {
    return CountValue();
  }
  bool number_float(double /*aValue*/, const std::string& /*aText*/) override
  {
    return CountValue();
  }
  bool string(std::string& /*aValue*/) override { return CountValue(); }
  bool binary(Json::binary_t& /*aValue*/) override { return CountValue(); }
  bool start_object(std::size_t /*aSize*/) override
  {
    keys_.emplace_back();
    return Descend();
  }
  bool key(std::string& aKey) override
  {
    return keys_.back().insert(aKey).second;
  }
  bool end_object() override
  {
    keys_.pop_back();
    --depth_;
    return true;
  }
  bool start_array(std::size_t /*aSize*/) override { return Descend(); }
  bool end_array() override
  {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const Json::exception& /*aError*/) override
  {
    return false;
  }

  std::size_t values_ = 0;

private:
  bool CountValue() { return ++values_ <= kMaxJsonValues; }
  bool Descend() { return ++depth_ <= kMaxJsonDepth && CountValue(); }

  std::size_t depth_ = 0;

  // Keys of the open objects, outermost first.
  std::vector<std::set<std::string>> keys_;
};

} // namespace

Json
ParseBoundedJson(std::string_view aText)
{
  return IsTooDeep(aText) ? Json(Json::value_t::discarded)
                          : Json::parse(aText, nullptr, false);
}

Json
ParseStrictJson(std::string_view aText, std::size_t* aValues)
{
  StrictCheck check;
  if (!Json::sax_parse(aText, &check)) {
    return Json(Json::value_t::discarded);
  }
  if (aValues != nullptr) {
    *aValues = check.values_;
  }
  return Json::parse(aText, nullptr, false);
}

} // namespace sycamoreward
