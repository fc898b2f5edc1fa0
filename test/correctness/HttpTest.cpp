// Tests the HTTP server and the HTTP client against each other on one event
// loop.

#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "runtime/HttpServer.h"

#include <criterion/criterion.h>

#include <functional>
#include <optional>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

struct Fixture
{
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };

  HttpClientReply Fetch(HttpClientRequest aRequest)
  {
    std::optional<HttpClientReply> reply;
    client_.Fetch(aRequest,
                  [&](HttpClientReply aReply) { reply = std::move(aReply); });
    loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
    cr_assert(reply.has_value(), "the end of the call was not reported");
    return *reply;
  }
};

HttpClientRequest
RequestTo(const Address& aAddress)
{
  HttpClientRequest request;
  request.address_ = aAddress;
  request.target_ = "/a/b?x=1%202&y=";
  return request;
}

} // namespace

Test(Http, RepliesAreCompleteAndConnectionsAreReused)
{
  Fixture fixture;
  HttpServer server(
    fixture.loop_, {}, [](std::shared_ptr<HttpExchange> aExchange) {
      const auto& request = aExchange->Request();
      aExchange->Reply(200,
                       { { "X-Query", request.query_.at("x") } },
                       request.path_ + ":" + request.body_);
    });
  for (int round = 0; round < 3; ++round) {
    HttpClientRequest request = RequestTo(server.BoundAddress());
    request.method_ = HttpMethod::Post;
    request.body_ = "body";
    const HttpClientReply reply = fixture.Fetch(request);
    cr_assert_eq(reply.end_, HttpEnd::Complete);
    cr_assert_eq(reply.status_, 200);
    cr_assert_eq(reply.body_, "/a/b:body");
    cr_assert_eq(FindHeader(reply.headers_, "x-query"), "1 2");
  }
}

// Guards against reporting a truncated stream as complete.
Test(Http, AbortedStreamIsReportedAsBroken)
{
  Fixture fixture;
  HttpServer server(
    fixture.loop_, {}, [&](std::shared_ptr<HttpExchange> aExchange) {
      aExchange->StartReply(200, {});
      aExchange->SendChunk("first");
      fixture.loop_.CallAfter(std::chrono::milliseconds(20),
                              [aExchange] { aExchange->Abort(); });
    });
  const HttpClientReply reply = fixture.Fetch(RequestTo(server.BoundAddress()));
  cr_assert_eq(reply.end_, HttpEnd::Broken);
  cr_assert_eq(reply.body_, "first");
}

Test(Http, StreamedReplyArrivesInOrder)
{
  Fixture fixture;
  HttpServer server(
    fixture.loop_, {}, [](std::shared_ptr<HttpExchange> aExchange) {
      aExchange->StartReply(200, {});
      for (int part = 0; part < 100; ++part) {
        aExchange->SendChunk(std::to_string(part) + ",");
      }
      aExchange->EndReply();
    });
  const HttpClientReply reply = fixture.Fetch(RequestTo(server.BoundAddress()));
  cr_assert_eq(reply.end_, HttpEnd::Complete);
  std::string expected;
  for (int part = 0; part < 100; ++part) {
    expected += std::to_string(part) + ",";
  }
  cr_assert_eq(reply.body_, expected);
}

// Guards against lost or reordered bytes when the socket accepts only a part of
// a chunk that is written to it directly.
Test(Http, ChunksLargerThanTheSocketBufferArriveInOrder)
{
  Fixture fixture;
  std::string expected;
  std::shared_ptr<HttpExchange> exchange;
  std::function<void()> sendNext = [&] {
    if (expected.size() > 20'000'000) {
      exchange->EndReply();
      return;
    }
    if (exchange->BufferedBytes().Value() == 0) {
      const std::string chunk(1'000'000, char('a' + expected.size() % 23));
      expected += chunk + ";";
      exchange->SendChunk(chunk);
      exchange->SendChunk(";");
    }
    fixture.loop_.CallAfter(std::chrono::milliseconds(1), sendNext);
  };
  HttpServer server(
    fixture.loop_, {}, [&](std::shared_ptr<HttpExchange> aExchange) {
      exchange = std::move(aExchange);
      exchange->StartReply(200, {});
      exchange->SendChunk("first;");
      expected = "first;";
      sendNext();
    });
  const HttpClientReply reply = fixture.Fetch(RequestTo(server.BoundAddress()));
  cr_assert_eq(reply.end_, HttpEnd::Complete);
  cr_assert(reply.body_ == expected);
}

// Guards against reporting a dropped exchange as an empty reply.
Test(Http, DroppedExchangeIsReportedAsBroken)
{
  Fixture fixture;
  HttpServer server(fixture.loop_, {}, [](std::shared_ptr<HttpExchange>) {});
  const HttpClientReply reply = fixture.Fetch(RequestTo(server.BoundAddress()));
  cr_assert_eq(reply.end_, HttpEnd::Broken);
}

Test(Http, RefusedConnectionIsNotConnected)
{
  Fixture fixture;
  Address address;
  {
    HttpServer server(fixture.loop_, {}, [](std::shared_ptr<HttpExchange>) {});
    address = server.BoundAddress();
  }
  cr_assert_eq(fixture.Fetch(RequestTo(address)).end_, HttpEnd::NotConnected);
}

Test(Http, UnresponsiveServerIsReportedAsSilent)
{
  Fixture fixture;
  std::shared_ptr<HttpExchange> held;
  HttpServer server(
    fixture.loop_, {}, [&](std::shared_ptr<HttpExchange> aExchange) {
      held = std::move(aExchange);
    });
  HttpClientRequest request = RequestTo(server.BoundAddress());
  request.silenceTimeout_ = std::chrono::milliseconds(50);
  cr_assert_eq(fixture.Fetch(request).end_, HttpEnd::Silent);
  held.reset();
}

Test(Http, ServerDetectsCallerDisconnect)
{
  Fixture fixture;
  std::shared_ptr<HttpExchange> held;
  bool isGone = false;
  HttpServer server(
    fixture.loop_, {}, [&](std::shared_ptr<HttpExchange> aExchange) {
      held = std::move(aExchange);
      held->OnCallerGone([&] { isGone = true; });
    });
  const auto call = fixture.client_.Start(RequestTo(server.BoundAddress()), {});
  fixture.loop_.RunUntil([&] { return held != nullptr; }, kTimeout);
  call->Cancel();
  cr_assert(fixture.loop_.RunUntil([&] { return isGone; }, kTimeout));
  held.reset();
}

Test(Http, HandlerErrorsBecomeReplies)
{
  Fixture fixture;
  HttpServer server(
    fixture.loop_, {}, [](std::shared_ptr<HttpExchange>) -> void {
      throw std::runtime_error("failed");
    });
  const HttpClientReply reply = fixture.Fetch(RequestTo(server.BoundAddress()));
  cr_assert_eq(reply.status_, 500);
}
