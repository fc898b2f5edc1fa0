// Tests the properties of the service stand-in that other tests rely on.

#include "service/ServiceStandIn.h"
#include "runtime/HttpClient.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace sycamoreward;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

struct Fixture
{
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  standin::ServiceStandIn service_{ loop_, {}, Address{ "127.0.0.1", 0 } };
  HttpClient client_{ loop_ };

  HttpClientReply Fetch(HttpMethod aMethod, const std::string& aPath)
  {
    HttpClientRequest request;
    request.address_ = service_.BoundAddress();
    request.method_ = aMethod;
    request.target_ = aPath;
    request.headers_ = { { "X-Request-Id", "id-1" } };
    std::optional<HttpClientReply> reply;
    client_.Fetch(request,
                  [&](HttpClientReply aReply) { reply = std::move(aReply); });
    loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
    cr_assert(reply.has_value(), "no end was reported for the call");
    return *reply;
  }
};

} // namespace

// The record must remain when the connection is closed before the reply.
// Otherwise the tests of unknown outcomes would not test anything.
Test(ServiceStandIn, AbortedRequestIsReportedAsRun)
{
  Fixture fixture;
  const auto before =
    json::parse(fixture.Fetch(HttpMethod::Get, "/status/id-0").body_);
  cr_assert_not(before["ran"].get<bool>());
  fixture.service_.SetFaults({ { "cutBeforeReply", true } });
  cr_assert_eq(fixture.Fetch(HttpMethod::Post, "/records").end_,
               HttpEnd::Broken);
  const auto after =
    json::parse(fixture.Fetch(HttpMethod::Get, "/status/id-1").body_);
  cr_assert(after["ran"].get<bool>());
  cr_assert_eq(fixture.service_.Records().entries_.at("id-1").runs_, 1);
}

Test(ServiceStandIn, RepeatedRecordIsCounted)
{
  Fixture fixture;
  fixture.Fetch(HttpMethod::Post, "/records");
  fixture.Fetch(HttpMethod::Post, "/records");
  cr_assert_eq(fixture.service_.Records().entries_.at("id-1").runs_, 2);
}

Test(ServiceStandIn, LeavingServerRefusesAsNotRun)
{
  Fixture fixture;
  fixture.service_.SetFaults({ { "leaving", true } });
  const HttpClientReply reply = fixture.Fetch(HttpMethod::Post, "/records");
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(FindHeader(reply.headers_, "Sycamoreward-Ran"), "not_run");
  cr_assert(fixture.service_.Records().entries_.empty());
}

// If the status of a request in progress were "not run", the system could
// report "not run" for a request that runs shortly afterwards.
Test(ServiceStandIn, RequestInProgressIsNotDenied)
{
  Fixture fixture;
  fixture.service_.SetFaults({ { "delayMs", 300 } });
  HttpClientRequest call;
  call.address_ = fixture.service_.BoundAddress();
  call.method_ = HttpMethod::Post;
  call.target_ = "/records";
  call.headers_ = { { "X-Request-Id", "id-1" } };
  std::optional<HttpClientReply> reply;
  fixture.client_.Fetch(
    call, [&](HttpClientReply aReply) { reply = std::move(aReply); });
  fixture.loop_.RunUntil(
    [&] { return !fixture.service_.Records().inProgress_.empty(); }, kTimeout);
  const auto during =
    json::parse(fixture.Fetch(HttpMethod::Get, "/status/id-1").body_);
  cr_assert(during.value("running", false));
  cr_assert_not(during.contains("ran"));
  fixture.loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
  const auto after =
    json::parse(fixture.Fetch(HttpMethod::Get, "/status/id-1").body_);
  cr_assert(after["ran"].get<bool>());
}

// A request whose status was reported as "not run" must not run when its call
// arrives later.
Test(ServiceStandIn, DeniedRequestDoesNotRunLater)
{
  Fixture fixture;
  fixture.Fetch(HttpMethod::Get, "/status/id-1");
  const HttpClientReply reply = fixture.Fetch(HttpMethod::Post, "/records");
  cr_assert_eq(FindHeader(reply.headers_, "Sycamoreward-Ran"), "not_run");
  cr_assert(fixture.service_.Records().entries_.empty());
}

// A call that its caller cancelled while the server was suspended must not run
// when the server resumes.
Test(ServiceStandIn, CallCancelledWhileSuspendedDoesNotRun)
{
  Fixture fixture;
  fixture.service_.SetFaults({ { "freeze", true } });
  HttpClientRequest call;
  call.address_ = fixture.service_.BoundAddress();
  call.method_ = HttpMethod::Post;
  call.target_ = "/records";
  call.silenceTimeout_ = std::chrono::milliseconds(200);
  std::optional<HttpClientReply> reply;
  fixture.client_.Fetch(
    call, [&](HttpClientReply aReply) { reply = std::move(aReply); });
  fixture.loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
  // The server handles the end of the connection before it answers this
  // request.
  fixture.Fetch(HttpMethod::Get, "/counters");
  fixture.service_.SetFaults({ { "freeze", false } });
  cr_assert(fixture.service_.Records().inProgress_.empty());
  cr_assert(fixture.service_.Records().entries_.empty());
}
