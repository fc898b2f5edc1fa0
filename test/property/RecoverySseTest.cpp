// Guards against events that are lost, split or merged when the stream is split
// into reads at arbitrary bytes.

#include "recovery/SseParser.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamoreward;

Test(SseParser, EventsDoNotDependOnHowTheStreamIsCut)
{
  const bool isGood = rc::check([] {
    const auto data = *rc::gen::container<std::vector<std::string>>(
      rc::gen::nonEmpty(rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("abc :{}\"")))));
    const std::string newline =
      *rc::gen::element(std::string("\n"), std::string("\r\n"));
    std::string stream;
    for (const std::string& event : data) {
      stream.append(": comment").append(newline);
      stream.append("data: ").append(event).append(newline).append(newline);
    }
    SseParser parser;
    std::vector<std::string> events;
    std::size_t at = 0;
    while (at < stream.size()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 9);
      RC_ASSERT(
        parser.Feed(std::string_view(stream).substr(at, length), events));
      at += length;
    }
    RC_ASSERT(events == data);
    RC_ASSERT(parser.IsBetweenEvents());
  });
  cr_assert(isGood);
}

Test(SseParser, LongLinesAreRefused)
{
  SseParser parser(Bytes(16));
  std::vector<std::string> events;
  cr_assert(parser.Feed("data: 12345678", events));
  cr_assert_not(parser.Feed("90123456", events));
  cr_assert_not(parser.Feed("\n\n", events));
  cr_assert(events.empty());
}
