// Answers of faulty servers to the client that sycamorewardd uses.

#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "support/ScriptedServer.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

struct Fixture
{
  explicit Fixture(ScriptedServer::Script aScript)
    : server_(loop_, std::move(aScript))
  {
  }

  HttpClientReply Fetch()
  {
    HttpClientRequest request;
    request.address_ = server_.BoundAddress();
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
