// Guards against events whose end is missed or invented when a stream is split
// into reads at arbitrary bytes.

#include "recovery/EventBoundary.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace sycamoreward;

namespace {

// A stream whose pieces are complete events or comments.
struct Stream
{
  std::vector<std::string> pieces_;
  std::uint64_t events_ = 0;
};

Stream
ArbitraryStream()
{
  const auto newline = *rc::gen::element(
    std::string("\n"), std::string("\r\n"), std::string("\r"));
  Stream stream;
  const auto count = *rc::gen::inRange(1, 8);
  for (int number = 0; number < count; ++number) {
    const auto kind = *rc::gen::inRange(0, 4);
    std::string piece;
    if (kind == 0) {
      piece = ": comment" + newline;
    } else {
      piece = "id: " + std::to_string(number) + newline;
      if (kind == 1) {
        piece += ":" + newline;
      }
      for (int line = 0; line < kind; ++line) {
        piece += "data: a:b" + newline;
      }
      piece += newline;
      ++stream.events_;
    }
    stream.pieces_.push_back(piece);
  }
  return stream;
}

} // namespace

Test(EventBoundary, IsFoundIndependentOfHowTheStreamIsCut)
{
  const bool isGood = rc::check([] {
    const Stream stream = ArbitraryStream();
    std::string text;
    for (const std::string& piece : stream.pieces_) {
      text += piece;
    }
    EventPosition position;
    std::string forwarded;
    std::string held;
    std::size_t at = 0;
    while (at < text.size()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 9);
      const std::string read = text.substr(at, length);
      const std::size_t boundary = AdvanceEvents(position, read);
      if (boundary > 0) {
        forwarded += held + read.substr(0, boundary);
        held.clear();
      }
      held += read.substr(boundary);
      RC_ASSERT(position.partialBytes_ == held.size());
      at += length;
    }
    RC_ASSERT(forwarded == text);
    RC_ASSERT(!IsInsideEvent(position));
    RC_ASSERT(position.events_ == stream.events_);
  });
  cr_assert(isGood);
}

Test(EventBoundary, EachProperPrefixOfAnEventIsInsideIt)
{
  const bool isGood = rc::check([] {
    const Stream stream = ArbitraryStream();
    EventPosition position;
    for (const std::string& piece : stream.pieces_) {
      // The line feed of a last CR LF may follow the end of the event.
      const std::size_t required =
        piece.size() >= 2 && piece.compare(piece.size() - 2, 2, "\r\n") == 0
          ? piece.size() - 1
          : piece.size();
      for (std::size_t at = 0; at < piece.size(); ++at) {
        AdvanceEvents(position, std::string_view(piece).substr(at, 1));
        RC_ASSERT(IsInsideEvent(position) == (at + 1 < required));
      }
    }
  });
  cr_assert(isGood);
}

Test(EventBoundary, AStreamWithoutEventsIsBrokenOffUnlessResumed)
{
  StreamEnd end;
  cr_expect(IsBrokenOff(end));
  end.isResumed_ = true;
  cr_expect_not(IsBrokenOff(end));
  AdvanceEvents(end.position_, "data: a");
  cr_expect(IsBrokenOff(end));
}
