// Tests the fault-injecting TCP forwarder that the failure tests use.

#include "support/CuttableLink.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "runtime/HttpServer.h"

#include <criterion/criterion.h>

#include <optional>

using namespace sycamoreward;

namespace {

struct Fixture
{
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpServer server_{ loop_, {}, [](std::shared_ptr<HttpExchange> aExchange) {
                       aExchange->Reply(200, {}, "ok");
                     } };
  CuttableLink link_{ loop_, server_.BoundAddress() };
  HttpClient client_{ loop_ };

  HttpEnd Fetch(bool aMayReuse)
  {
    HttpClientRequest request;
    request.address_ = link_.ListenAddress();
    request.mayReuseConnection_ = aMayReuse;
    request.silenceTimeout_ = std::chrono::milliseconds(100);
    std::optional<HttpEnd> end;
    client_.Fetch(request,
                  [&](const HttpClientReply& aReply) { end = aReply.end_; });
    loop_.RunUntil([&] { return end.has_value(); }, std::chrono::seconds(10));
    cr_assert(end.has_value());
    return *end;
  }
};

} // namespace

Test(CuttableLink, OldConnectionsGoSilentWhileNewOnesWork)
{
  Fixture fixture;
  cr_assert_eq(fixture.Fetch(true), HttpEnd::Complete);
  fixture.link_.SetMode(LinkMode::SilenceOpen);
  cr_assert_eq(fixture.Fetch(true), HttpEnd::Silent);
  cr_assert_eq(fixture.Fetch(false), HttpEnd::Complete);
}

Test(CuttableLink, RefusesConnectionsWhileCut)
{
  Fixture fixture;
  fixture.link_.SetMode(LinkMode::Cut);
  cr_assert_eq(fixture.Fetch(false), HttpEnd::NotConnected);
  fixture.link_.SetMode(LinkMode::Pass);
  cr_assert_eq(fixture.Fetch(false), HttpEnd::Complete);
}

Test(CuttableLink, DroppedRepliesAreReportedAsSilent)
{
  Fixture fixture;
  fixture.link_.SetMode(LinkMode::DropReplies);
  cr_assert_eq(fixture.Fetch(false), HttpEnd::Silent);
}
