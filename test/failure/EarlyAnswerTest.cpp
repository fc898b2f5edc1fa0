// Answers that come before the request is sent, and connections that are reset
// after the server has ended its side.

#include "http/BackendChannel.h"
#include "support/AbruptServer.h"
#include "support/PlatformFixture.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace sycamoreward;

namespace {

constexpr std::size_t kLongUpload = 3500 * 1000;
// Fits into the buffers of the sockets.
constexpr std::size_t kShortUpload = 200 * 1000;
constexpr Duration kLateReset = std::chrono::milliseconds(30);
constexpr int kRuns = 6;

struct Result
{
  std::optional<http::ChannelFailure> failure_;
  bool isComplete_ = false;
  int status_ = 0;
  std::string body_;
  Duration time_{ 0 };
};

struct Fixture
{
  // Sends a request with a body of aUpload bytes and waits for the end of the
  // answer.
  Result Ask(std::size_t aUpload)
  {
    Result result;
    const auto channel =
      std::make_shared<http::BackendChannel>(loop_, server_.BoundAddress());
    channel->SetUp();
    http::BackendChannel::Callbacks callbacks;
    callbacks.matchesRequest_ = [](const http::ResponseHead&) { return true; };
    callbacks.onHead_ = [&](const http::ResponseHead& aHead,
                            const http::Framing&) {
      result.status_ = aHead.status_;
    };
    callbacks.onBody_ = [&](std::string_view aBytes) {
      result.body_.append(aBytes);
    };
    callbacks.onEnd_ = [&] { result.isComplete_ = true; };
    callbacks.onFailed_ = [&](http::ChannelFailure aFailure) {
      result.failure_ = aFailure;
    };
    const MonotonicTime start = clock_.Now();
    channel->Send("POST",
                  "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                    std::to_string(aUpload) + "\r\n\r\n",
                  std::string(aUpload, 'u'),
                  std::move(callbacks));
    loop_.RunUntil(
      [&] { return result.isComplete_ || result.failure_.has_value(); },
      std::chrono::seconds(3));
    result.time_ = clock_.Now() - start;
    channel->Cut();
    return result;
  }

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  std::string answer_;
  AbruptServer server_{ loop_,
                        [this](const http::RequestHead&) { return answer_; } };
};

std::string
AnswerWithoutLength(int aStatus, std::size_t aBytes)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Early\r\n\r\n" +
         std::string(aBytes, 'a');
}

AbruptServer::Ending
MakeEnding(bool aReadsBody, bool aEndsSide, Duration aResetDelay)
{
  AbruptServer::Ending ending;
  ending.readsBody_ = aReadsBody;
  ending.endsSide_ = aEndsSide;
  ending.resetDelay_ = aResetDelay;
  return ending;
}

} // namespace

// Guards against a part of an answer without a length that counts as the whole
// answer, although its server gave up the request before it had read it.
Test(EarlyAnswer, AResetAfterTheEndOfAnAnswerWithoutLengthTruncatesIt)
{
  for (const std::size_t upload : { kLongUpload, kShortUpload }) {
    for (const std::size_t size : { 2000, 90000 }) {
      for (const bool endsSide : { true, false }) {
        for (const Duration delay : { Duration(0), kLateReset }) {
          for (int run = 0; run < kRuns; ++run) {
            Fixture fixture;
            fixture.answer_ = AnswerWithoutLength(200, size);
            fixture.server_.ending_ = MakeEnding(false, endsSide, delay);
            const Result result = fixture.Ask(upload);
            cr_expect_not(result.isComplete_,
                          "upload %zu, answer %zu, ends its side %d, reset "
                          "after %d ms, run %d",
                          upload,
                          size,
                          int(endsSide),
                          int(delay.count() / 1000),
                          run);
          }
        }
      }
    }
  }
}

// An answer without a length from a server that has read the request is
// complete, without a delay where no upload can be unread.
Test(EarlyAnswer, AnAnswerWithoutLengthToARequestThatWasReadIsComplete)
{
  for (const std::size_t upload :
       { std::size_t(0), std::size_t(300), kShortUpload, kLongUpload }) {
    Fixture fixture;
    fixture.answer_ = AnswerWithoutLength(200, 2000);
    fixture.server_.ending_ = MakeEnding(true, true, Duration(-1));
    const Result result = fixture.Ask(upload);
    cr_expect(result.isComplete_, "%zu", upload);
    cr_expect_eq(result.body_.size(), 2000, "%zu", upload);
    if (upload <= 300) {
      cr_expect_lt(result.time_.count(), 50000, "%zu", upload);
    }
  }
}

// Guards against an early failure, such as 413, that callers don't get because
// its server then closes the connection.
Test(EarlyAnswer, AFailureThatComesEarlyIsDelivered)
{
  for (int run = 0; run < kRuns; ++run) {
    Fixture fixture;
    fixture.answer_ = AnswerWithoutLength(413, 2000);
    fixture.server_.ending_ = MakeEnding(false, true, kLateReset);
    const Result result = fixture.Ask(kLongUpload);
    cr_expect(result.isComplete_);
    cr_expect_eq(result.status_, 413);
    cr_expect_eq(result.body_.size(), 2000);
  }
}

// Guards against a whole answer that is lost because the upload can't be
// written any more.
Test(EarlyAnswer, AWholeAnswerBeforeAResetIsDelivered)
{
  for (const char* framing :
       { "Content-Length: 5\r\n\r\nearly",
         "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n" }) {
    for (const Duration delay : { Duration(0), kLateReset }) {
      for (int run = 0; run < kRuns; ++run) {
        Fixture fixture;
        fixture.answer_ = std::string("HTTP/1.1 200 OK\r\n") + framing;
        fixture.server_.ending_ = MakeEnding(false, false, delay);
        const Result result = fixture.Ask(kLongUpload);
        cr_expect(result.isComplete_,
                  "%s, reset after %d ms, run %d",
                  framing,
                  int(delay.count() / 1000),
                  run);
        cr_expect_eq(result.body_, "early");
      }
    }
  }
}

// The same on the platform with a real process: no caller gets a part of an
// answer as a complete success.
Test(EarlyAnswer, CallersGetNoTruncatedAnswerAsAComplete)
{
  // Above what a server is assumed to read at once, and within the limit of the
  // deployment.
  constexpr std::size_t kUpload = 90 * 1000;
  PlatformFixtureOptions options;
  options.edges_ = 1;
  options.engines_ = 0;
  options.desks_ = 0;
  PlatformFixture world(options);
  const auto answer = [](const http::RequestHead& aHead) {
    const std::string* id = aHead.Find("X-Request-Id");
    return "HTTP/1.1 200 Early\r\nX-Request-Id: " + (id == nullptr ? "" : *id) +
           "\r\nX-Response-Signature: sig\r\n\r\n" +
           "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  };
  AbruptServer desk(world.loop_, answer);
  AbruptServer engine(world.loop_, answer);
  world.ListServer("desk", "desk", desk.BoundAddress());
  world.ListServer("engine", "engine", engine.BoundAddress());
  cr_assert(world.WaitReady(15));
  world.RunFor(0.5);
  world.body_ = std::string(kUpload, 'u');
  int number = 0;
  for (const bool endsSide : { true, false }) {
    for (const Duration delay : { Duration(0), kLateReset }) {
      desk.ending_ = MakeEnding(false, endsSide, delay);
      engine.ending_ = desk.ending_;
      for (const char* path : { PlatformFixture::kOnce,
                                PlatformFixture::kRepeatable,
                                PlatformFixture::kResumable,
                                PlatformFixture::kStream }) {
        for (int run = 0; run < kRuns; ++run) {
          const auto asked =
            world.Ask(0, path, "early-" + std::to_string(++number));
          cr_assert(world.RunUntil([&] { return asked->isDone_; }, 8));
          const bool isSuccess = asked->status_ == 200 && asked->isWhole_;
          cr_expect_not(isSuccess,
                        "%s, ends its side %d, reset after %d ms, run %d",
                        path,
                        int(endsSide),
                        int(delay.count() / 1000),
                        run);
        }
      }
    }
  }
}
