// Tests authentication and authorization of callers, and what the callers' API
// reports about requests.

#include "support/RequestFixture.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

struct Case
{
  RequestTestbed testbed_;
  std::vector<HttpServerRequest> received_;
  std::unique_ptr<RequestFixture> fixture_;

  Case()
  {
    testbed_.AddBackend(
      "server", [this](std::shared_ptr<HttpExchange> aExchange) {
        received_.push_back(aExchange->Request());
        aExchange->Reply(201, { { "Content-Type", "text/plain" } }, "found");
      });
    fixture_ = std::make_unique<RequestFixture>(testbed_, "entry");
  }
};

} // namespace

Test(RequestApi, AuthorizesCallersByToken)
{
  Case test;
  RequestFixture& fixture = *test.fixture_;
  const std::string target = "/services/desk/certificates";
  cr_assert_eq(fixture.Fetch(HttpMethod::Post, target, "", "", "wrong").status_,
               401);
  cr_assert_eq(
    fixture.Fetch(HttpMethod::Post, target, "", "", "token-b").status_, 403);
  cr_assert_eq(fixture.Fetch(HttpMethod::Get, "/services/none/x", "").status_,
               404);
  const auto malformed =
    fixture.Fetch(HttpMethod::Post, "/v1/completions", "{");
  cr_assert_eq(malformed.status_, 400);
  cr_assert_not(FindHeader(malformed.headers_, "X-Request-Id").empty());
  cr_assert(test.received_.empty());
  cr_assert(test.testbed_.ledger_.outcomes_.empty());
}

Test(RequestApi, ForwardsPlainCallsUnchanged)
{
  Case test;
  const auto reply =
    test.fixture_->Fetch(HttpMethod::Put, "/services/look/a%20b?c=d", "body");
  cr_assert_eq(reply.status_, 201);
  cr_assert_eq(reply.body_, "found");
  cr_assert_eq(FindHeader(reply.headers_, "Content-Type"), "text/plain");
  const HttpServerRequest& received = test.received_.at(0);
  cr_assert_eq(received.method_, HttpMethod::Put);
  cr_assert_eq(received.target_, "/a%20b?c=d");
  cr_assert_eq(received.body_, "body");
  cr_assert_eq(FindHeader(received.headers_, "X-Request-Id"),
               FindHeader(reply.headers_, "X-Request-Id"));
  cr_assert_eq(FindHeader(received.headers_, "X-Request-Deadline-Ms"),
               "120000");
  cr_assert_eq(FindHeader(received.headers_, "traceparent").size(), 55U);
}

// Guards against a workspace reading another workspace's records by request id.
Test(RequestApi, HidesRecordsFromOtherWorkspaces)
{
  Case test;
  const auto reply =
    test.fixture_->Fetch(HttpMethod::Get, "/services/look/x", "");
  const std::string target =
    "/v1/requests/" + FindHeader(reply.headers_, "X-Request-Id");
  const auto own = test.fixture_->Fetch(HttpMethod::Get, target, "");
  cr_assert_eq(own.status_, 200);
  cr_assert_eq(nlohmann::json::parse(own.body_)["outcome"], "completed");
  cr_assert_eq(
    test.fixture_->Fetch(HttpMethod::Get, target, "", "", "token-b").status_,
    404);
}

Test(RequestApi, RejectsReusedKeyWithDifferentBody)
{
  Case test;
  const std::string target = "/services/desk/certificates";
  cr_assert_eq(
    test.fixture_->Fetch(HttpMethod::Post, target, "one", "k").status_, 201);
  cr_assert_eq(
    test.fixture_->Fetch(HttpMethod::Post, target, "two", "k").status_, 422);
  cr_assert_eq(test.received_.size(), 1U);
}

Test(RequestApi, AsksCallerToRetryUnsettledKey)
{
  Case test;
  RegisterReply unsettled;
  unsettled.status_ = RegisterStatus::Unsettled;
  test.testbed_.ledger_.forcedReply_ = unsettled;
  const auto reply = test.fixture_->Fetch(
    HttpMethod::Post, "/services/desk/certificates", "one", "k");
  cr_assert_eq(reply.status_, 503);
  cr_assert_not(FindHeader(reply.headers_, "Retry-After").empty());
  cr_assert_eq(nlohmann::json::parse(reply.body_)["error"]["ran"], "unknown");
  cr_assert(test.received_.empty());
  cr_assert(test.testbed_.ledger_.outcomes_.empty());
}

Test(RequestApi, LeavingInstancesAreUnlistedAndRejectRequests)
{
  Case test;
  RequestFixture other(test.testbed_, "other");
  RequestFixture leaving(test.testbed_, "leaving");
  LinkFixtures({ test.fixture_.get(), &other, &leaving });
  test.fixture_->membership_.members_.members_.back().state_ =
    MemberState::Leaving;
  const auto reply =
    test.fixture_->Fetch(HttpMethod::Get, "/v1/addresses", "", "", "none");
  const auto body = nlohmann::json::parse(reply.body_);
  cr_assert_eq(body["addresses"].size(), 2U);
  cr_assert_eq(body["addresses"][0]["address"].get<std::string>(),
               ToString(test.fixture_->callerServer_.BoundAddress()));
  cr_assert_gt(body["ttlSeconds"].get<int>(), 0);
  leaving.api_.StopAccepting();
  cr_assert_eq(leaving.Fetch(HttpMethod::Get, "/services/look/x", "").status_,
               503);
  cr_assert(test.received_.empty());
}
