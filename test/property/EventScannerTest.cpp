// Compares the scanner of engine events with the JSON library.

#include "requests/EventScanner.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sycamoreward;
using nlohmann::json;

namespace {

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

// Guards against the scanner reading a different text than the JSON parser.
Test(EventScanner, ReadsEventsSerializedByJsonLibrary)
{
  cr_assert(rc::check([](const std::string& aText,
                         bool aIsChat,
                         bool aIsLast,
                         std::uint32_t aAttempt,
                         std::uint32_t aIndex) {
    json choice{ { "index", 0 },
                 { "finish_reason", aIsLast ? json("stop") : json() } };
    if (aIsChat) {
      choice["delta"] = json{ { "role", "x" }, { "content", aText } };
    } else {
      choice["text"] = aText;
    }
    const std::string data = Dump({ { "choices", json::array({ choice }) },
                                    { "usage", { { "tokens", { 1, 2 } } } },
                                    { "attempt", aAttempt },
                                    { "index", aIndex } });
    const auto event = ScanEngineEvent(data);
    if (event) {
      RC_ASSERT(event->text_ == aText);
      RC_ASSERT(event->attempt_ == AttemptNumber(aAttempt));
      RC_ASSERT(event->index_ == PartIndex(aIndex));
      RC_ASSERT(event->finishReason_.has_value() == aIsLast);
    }
    std::string out;
    if (AppendJsonString(out, aText)) {
      RC_ASSERT(json::parse(out).get<std::string>() == aText);
    }
  }));
}

// Guards against the scanner accepting what the JSON parser rejects.
Test(EventScanner, RejectsWhatJsonLibraryRejects)
{
  const std::string validEvent =
    R"({"choices":[{"index":0,"text":"a \"b\"","finish_reason":null}],)"
    R"("attempt":1,"index":12})";
  cr_assert(ScanEngineEvent(validEvent).has_value());
  cr_assert(rc::check([&] {
    std::string data = validEvent;
    const auto at = *rc::gen::inRange<std::size_t>(0, data.size());
    if (*rc::gen::arbitrary<bool>()) {
      data[at] = *rc::gen::elementOf(std::string("{}[],:\"\\01ax \n"));
    } else {
      data.erase(at, *rc::gen::inRange<std::size_t>(1, 5));
    }
    if (ScanEngineEvent(data)) {
      RC_ASSERT(json::accept(data));
    }
  }));
}
