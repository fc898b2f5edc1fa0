// Tests everything in the platform stand-in except the store.

#include "platform/PlatformStandIn.h"
#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <criterion/criterion.h>

#include <optional>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

struct Fixture
{
  ManualClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  platform::PlatformStandIn platform_{ loop_, {}, { "127.0.0.1", 0 } };

  HttpClientReply Fetch(HttpMethod aMethod,
                        const std::string& aTarget,
                        const std::string& aBody = "")
  {
    HttpClientRequest request;
    request.address_ = platform_.BoundAddress();
    request.method_ = aMethod;
    request.target_ = aTarget;
    request.body_ = aBody;
    std::optional<HttpClientReply> reply;
    client_.Fetch(request, [&](HttpClientReply aReply) { reply = aReply; });
    loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
    cr_assert(reply.has_value(), "no end was reported for the call");
    return *reply;
  }

  nlohmann::json List(const std::string& aSince)
  {
    const auto reply = Fetch(HttpMethod::Get, "/v1/instances?since=" + aSince);
    return nlohmann::json::parse(reply.body_);
  }
};

} // namespace

Test(PlatformStandIn, ListChangesBecomeVisibleAfterLag)
{
  Fixture fixture;
  fixture.Fetch(HttpMethod::Post, "/faults", R"({"listLagMs":500})");
  fixture.Fetch(HttpMethod::Put, "/v1/instances/e1", R"({"state":"live"})");
  cr_assert_eq(fixture.List("0").at("version"), 0);
  fixture.clock_.Advance(std::chrono::milliseconds(500));
  auto list = fixture.List("0");
  cr_assert_eq(list.at("version"), 1);
  cr_assert_eq(list.at("instances").at(0).at("id"), "e1");
  cr_assert_eq(fixture.List("1").at("instances").size(), 0U);
  fixture.Fetch(HttpMethod::Delete, "/v1/instances/e1");
  fixture.clock_.Advance(std::chrono::milliseconds(500));
  list = fixture.List("1");
  cr_assert_eq(list.at("version"), 2);
  cr_assert_eq(list.at("instances").at(0).at("state"), "gone");
}

Test(PlatformStandIn, ServesNoticesStartsAndPrices)
{
  Fixture fixture;
  const std::string path =
    "/instances/e1/latest/meta-data/spot/instance-action";
  cr_assert_eq(fixture.Fetch(HttpMethod::Get, path).status_, 404);
  fixture.Fetch(
    HttpMethod::Post, "/v1/instances/e1/notice", R"({"seconds":30})");
  const auto notice = fixture.Fetch(HttpMethod::Get, path);
  cr_assert_eq(notice.status_, 200);
  cr_assert_eq(nlohmann::json::parse(notice.body_).at("action"), "terminate");
  const std::string start =
    R"({"zone":"z","class":"accelerator","isReclaimable":true})";
  cr_assert_eq(fixture.Fetch(HttpMethod::Post, "/v1/instances", start).status_,
               201);
  fixture.platform_.Faults().refuseStarts_ = true;
  cr_assert_eq(fixture.Fetch(HttpMethod::Post, "/v1/instances", start).status_,
               503);
  cr_assert_eq(fixture.Fetch(HttpMethod::Get, "/v1/prices").status_, 200);
}

Test(PlatformStandIn, WeightStoreSharesBandwidth)
{
  Fixture fixture;
  const std::uint64_t size = 64 * 1024 * 1024;
  fixture.Fetch(
    HttpMethod::Put, "/weights/m", "{\"bytes\":" + std::to_string(size) + "}");
  HttpClientRequest request;
  request.address_ = fixture.platform_.BoundAddress();
  request.target_ = "/weights/m";
  std::uint64_t received = 0;
  HttpCallbacks callbacks;
  callbacks.onData_ = [&](std::string_view aData) { received += aData.size(); };
  const auto call = fixture.client_.Start(request, callbacks);
  // At 64 MiB/s, a chunk of 64 KiB takes 976 microseconds.
  fixture.loop_.RunUntil([&] { return received > 0; },
                         std::chrono::milliseconds(200));
  cr_assert_eq(received, 0U);
  fixture.clock_.Advance(std::chrono::milliseconds(1));
  cr_assert(fixture.loop_.RunUntil([&] { return received > 0; }, kTimeout));
  cr_assert_leq(received, 64U * 1024);
  call->Cancel();
}
