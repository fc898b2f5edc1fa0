// Answers of faulty servers to the client that sycamorewardd uses.

#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "support/AbruptServer.h"
#include "support/ScriptedServer.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

struct Fixture
{
  explicit Fixture(ScriptedServer::Script aScript)
    : server_(loop_, std::move(aScript))
  {
  }

  HttpClientReply Fetch(Duration aSilence = std::chrono::seconds(30))
  {
    HttpClientRequest request;
    request.address_ = server_.BoundAddress();
    request.silenceTimeout_ = aSilence;
    std::optional<HttpClientReply> reply;
    client_.Fetch(request,
                  [&](HttpClientReply aReply) { reply = std::move(aReply); });
    loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
    cr_assert(reply.has_value());
    return *reply;
  }

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  ScriptedServer server_;
};

constexpr char kSuccess[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kRefusal[] =
  "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";

} // namespace

// Guards against an answer that ends within its head and counts as complete.
Test(HttpClientAnswer, AnAnswerThatEndsWithinItsHeadIsBroken)
{
  for (const char* head :
       { "HTTP/1.1 200",
         "HTTP/1.1 200 OK\r\n",
         "HTTP/1.1 200 OK\r\nContent-Ty",
         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" }) {
    for (const int kept : { 0, 1 }) {
      Fixture fixture([&](auto& aConnection, const auto&) {
        if (aConnection.requests_ <= kept) {
          aConnection.channel_->Write(kSuccess);
          return;
        }
        aConnection.channel_->Write(head);
        aConnection.channel_->CloseAfterFlush();
      });
      if (kept > 0) {
        cr_assert_eq(fixture.Fetch().end_, HttpEnd::Complete);
      }
      const HttpClientReply reply = fixture.Fetch();
      cr_expect_neq(reply.end_, HttpEnd::Complete, "'%s', %d", head, kept);
    }
  }
}

// Guards against a refusal that is written twice and taken for the answer to
// the next request.
Test(HttpClientAnswer, ARepeatedRefusalIsNotTheNextAnswer)
{
  bool isRefused = false;
  Fixture fixture([&](auto& aConnection, const auto&) {
    if (!isRefused) {
      isRefused = true;
      aConnection.channel_->Write(kRefusal);
      return;
    }
    if (aConnection.requests_ > 1) {
      aConnection.channel_->Write(kRefusal);
    }
    aConnection.channel_->Write(kSuccess);
  });
  cr_expect_eq(fixture.Fetch().status_, 503);
  cr_expect_eq(fixture.Fetch().status_, 200);
}

namespace {

// Sends aStart and then aPart again and again, until the client closes or
// kMostBytes have been sent. Returns how the call ended and what was sent.
struct EndlessResult
{
  HttpEnd end_ = HttpEnd::Complete;
  std::size_t sent_ = 0;
};

constexpr std::size_t kMostBytes = 96 * 1024 * 1024;

EndlessResult
FetchEndless(const std::string& aStart, const std::string& aPart)
{
  std::size_t sent = 0;
  std::string block;
  while (block.size() < 64 * 1024) {
    block += aPart;
  }
  std::function<void()> send;
  std::shared_ptr<http::Channel> channel;
  Fixture fixture([&](auto& aConnection, const auto&) {
    channel = aConnection.channel_;
    channel->Write(aStart);
    send();
  });
  send = [&] {
    // Not more than the client has read is queued here.
    if (!channel->IsClosed() && channel->Unsent() < block.size() &&
        sent < kMostBytes) {
      channel->Write(block);
      sent += block.size();
    }
    if (!channel->IsClosed()) {
      fixture.loop_.CallAfter(std::chrono::microseconds(100), send);
    }
  };
  EndlessResult result;
  result.end_ = fixture.Fetch(std::chrono::seconds(1)).end_;
  result.sent_ = sent;
  channel->Reset();
  return result;
}

} // namespace

// Guards against a faulty server whose bytes are kept until the memory of the
// process runs out.
Test(HttpClientAnswer, BytesWithoutEndInAHeadAreNotKept)
{
  // More than a head may have, with what the sockets hold.
  constexpr std::size_t kMostKept = 16 * 1024 * 1024;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> forms[] = {
    { "HTTP/1.1 200 ", "O" },
    { head + "Field: ", "x" },
    { head, "Field: value\r\n" },
    { chunked, "1" },
    { chunked + "2;", "extension" },
    { chunked + "0\r\n", "Field: value\r\n" },
    { "HTTP/1.1 100 Continue\r\n", "Field: value\r\n" },
  };
  for (const auto& [start, part] : forms) {
    const EndlessResult result = FetchEndless(start, part);
    cr_expect(result.end_ != HttpEnd::Complete, "%s", start.c_str());
    cr_expect_leq(result.sent_, kMostKept, "%s", start.c_str());
  }
}

// The same for a reply whose body is collected.
Test(HttpClientAnswer, ABodyWithoutEndIsNotKept)
{
  constexpr std::size_t kMostKept = 48 * 1024 * 1024;
  for (const char* framing : { "", "Content-Length: 99999999999\r\n" }) {
    const EndlessResult result = FetchEndless(
      std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n", "body");
    cr_expect(result.end_ != HttpEnd::Complete, "%s", framing);
    cr_expect_leq(result.sent_, kMostKept, "%s", framing);
  }
}

// Guards against an answer whose status is no status of HTTP and that counts as
// one.
Test(HttpClientAnswer, AnAnswerWithAnInvalidStatusIsBroken)
{
  for (const char* status : { "000",
                              "0",
                              "00",
                              "099",
                              "99",
                              "600",
                              "999",
                              "1000",
                              "2000",
                              "abc",
                              "-20",
                              "+20",
                              " 200",
                              "20\t0",
                              "101",
                              "103" }) {
    Fixture fixture([&](auto& aConnection, const auto&) {
      aConnection.channel_->Write(std::string("HTTP/1.1 ") + status +
                                  " OK\r\nContent-Length: 2\r\n\r\nok");
    });
    const HttpClientReply reply = fixture.Fetch(std::chrono::seconds(1));
    cr_expect_neq(reply.end_, HttpEnd::Complete, "'%s'", status);
  }
}

namespace {

struct EarlyFixture
{
  HttpClientReply Fetch(std::size_t aUpload)
  {
    HttpClientRequest request;
    request.address_ = server_.BoundAddress();
    request.method_ = HttpMethod::Post;
    request.body_ = std::string(aUpload, 'u');
    request.silenceTimeout_ = std::chrono::seconds(3);
    std::optional<HttpClientReply> reply;
    client_.Fetch(request,
                  [&](HttpClientReply aReply) { reply = std::move(aReply); });
    loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
    cr_assert(reply.has_value());
    return *reply;
  }

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  std::string answer_ = "HTTP/1.1 200 Early\r\n\r\n" + std::string(2000, 'a');
  AbruptServer server_{ loop_,
                        [this](const http::RequestHead&) { return answer_; } };
};

} // namespace

// Guards against a part of an answer without a length that counts as the whole
// answer, although its server reset the connection before it had read the
// request.
Test(HttpClientAnswer, AResetDuringAnUploadTruncatesAnAnswerWithoutLength)
{
  constexpr std::size_t kLongUpload = 3500 * 1000;
  constexpr std::size_t kShortUpload = 200 * 1000;
  for (const std::size_t upload : { kLongUpload, kShortUpload }) {
    for (const bool endsSide : { true, false }) {
      for (const int delay : { 0, 30 }) {
        for (int run = 0; run < 6; ++run) {
          EarlyFixture fixture;
          fixture.server_.ending_.endsSide_ = endsSide;
          fixture.server_.ending_.resetDelay_ =
            std::chrono::milliseconds(delay);
          const HttpClientReply reply = fixture.Fetch(upload);
          cr_expect_neq(reply.end_,
                        HttpEnd::Complete,
                        "upload %zu, ends its side %d, reset after %d ms, "
                        "run %d",
                        upload,
                        int(endsSide),
                        delay,
                        run);
        }
      }
    }
  }
}

// Guards against callbacks of a call that has ended: a reply without a body has
// no length either, and its connection stays open.
Test(HttpClientAnswer, AConnectionOutlivesTheCallWhoseReplyHadNoLength)
{
  std::shared_ptr<http::Channel> channel;
  Fixture fixture([&](auto& aConnection, const auto&) {
    channel = aConnection.channel_;
    channel->Write("HTTP/1.1 204 No Content\r\n\r\n");
  });
  for (int call = 0; call < 3; ++call) {
    cr_expect_eq(fixture.Fetch().status_, 204);
    // The server closes the idle connection.
    channel->CloseAfterFlush();
    fixture.loop_.RunUntil([] { return false; },
                           std::chrono::milliseconds(100));
  }
}

// The same answer is complete from a server that has read the request.
Test(HttpClientAnswer, AnAnswerWithoutLengthToARequestThatWasReadIsComplete)
{
  for (const std::size_t upload : { 300, 200 * 1000, 3500 * 1000 }) {
    EarlyFixture fixture;
    fixture.server_.ending_.readsBody_ = true;
    fixture.server_.ending_.endsSide_ = true;
    const HttpClientReply reply = fixture.Fetch(upload);
    cr_expect_eq(reply.end_, HttpEnd::Complete, "%zu", upload);
    cr_expect_eq(reply.body_.size(), 2000, "%zu", upload);
  }
}
