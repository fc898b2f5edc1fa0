// Tests every way in which the call of an unrepeatable request can fail. The
// recorded outcome must be correct, the request must not be sent more often
// than allowed, and every scheduler slot must be released.

#include "support/RequestFixture.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

// A backend server of a plain service with scripted behaviour.
struct ScriptedServer
{
  enum class Mode
  {
    Reply,
    Disconnect,
    Silent,
    Refuse,
    // Runs the request and answers with failStatus_.
    Fail
  };

  Mode mode_ = Mode::Reply;
  int failStatus_ = 500;
  // Reply to status queries; 404 when null.
  nlohmann::json status_;
  unsigned calls_ = 0;
  unsigned statusQueries_ = 0;
  std::vector<std::shared_ptr<HttpExchange>> openExchanges_;

  HttpServer::Handler Handler()
  {
    return [this](std::shared_ptr<HttpExchange> aExchange) {
      if (aExchange->Request().path_.rfind("/status/", 0) == 0) {
        ++statusQueries_;
        aExchange->Reply(status_.is_null() ? 404 : 200, {}, status_.dump());
        return;
      }
      if (aExchange->Request().path_ == "/load") {
        aExchange->Reply(404, {}, "");
        return;
      }
      ++calls_;
      switch (mode_) {
        case Mode::Reply:
          aExchange->Reply(
            200, { { "Content-Type", "application/json" } }, "{\"n\":1}");
          return;
        case Mode::Disconnect:
          aExchange->Abort();
          return;
        case Mode::Silent:
          openExchanges_.push_back(aExchange);
          return;
        case Mode::Refuse:
          aExchange->Reply(503, { { "Sycamoreward-Ran", "not_run" } }, "");
          return;
        case Mode::Fail:
          aExchange->Reply(failStatus_, {}, "locked");
          return;
      }
    };
  }
};

struct Case
{
  RequestTestbed testbed_;
  ScriptedServer first_;
  ScriptedServer second_;
  std::unique_ptr<RequestFixture> fixture_;

  void Build()
  {
    testbed_.AddBackend("first", first_.Handler());
    testbed_.AddBackend("second", second_.Handler());
    fixture_ = std::make_unique<RequestFixture>(testbed_, "entry");
  }
  HttpClientReply Issue(const std::string& aService = "desk")
  {
    return fixture_->Fetch(
      HttpMethod::Post, "/services/" + aService + "/certificates", "{}", "k");
  }
  void Check(OutcomeKind aKind, unsigned aFirst, unsigned aSecond)
  {
    cr_assert_eq(testbed_.ledger_.outcomes_.size(), 1U);
    cr_assert_eq(testbed_.ledger_.outcomes_[0].kind_, aKind);
    cr_assert_eq(first_.calls_, aFirst);
    cr_assert_eq(second_.calls_, aSecond);
    cr_assert(fixture_->scheduler_.slotsInUse_.empty());
    cr_assert_eq(fixture_->scheduler_.unmatchedEnds_, 0U);
    cr_assert_eq(fixture_->api_.RunningRequests(), 0U);
  }
};

std::string
RanOf(const HttpClientReply& aReply)
{
  return nlohmann::json::parse(aReply.body_)["error"]["ran"];
}

} // namespace

Test(RequestOnce, RecordsReplyAndReplaysItForSameKey)
{
  Case test;
  test.Build();
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 200);
  cr_assert_eq(reply.body_, "{\"n\":1}");
  test.Check(OutcomeKind::Completed, 1, 0);
  cr_assert(test.testbed_.ledger_.registered_[0].isDurable_);
  cr_assert_eq(test.testbed_.ledger_.outcomes_[0].answer_->body_, "{\"n\":1}");
  // A repeated request with the same key gets the stored answer without a
  // second call.
  const auto again = test.Issue();
  cr_assert_eq(again.body_, "{\"n\":1}");
  cr_assert_eq(FindHeader(again.headers_, "X-Request-Id"),
               FindHeader(reply.headers_, "X-Request-Id"));
  test.Check(OutcomeKind::Completed, 1, 0);
}

Test(RequestOnce, WithdrawsUnconfirmedClaimWithoutSending)
{
  Case test;
  test.Build();
  test.testbed_.ledger_.forcedReply_ = RegisterReply{};
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(RanOf(reply), "not_run");
  cr_assert_not(FindHeader(reply.headers_, "Retry-After").empty());
  test.Check(OutcomeKind::NotRun, 0, 0);
}

Test(RequestOnce, RetriesElsewhereAfterFailedConnect)
{
  Case test;
  test.testbed_.AddDeadBackend("dead");
  test.Build();
  cr_assert_eq(test.Issue().status_, 200);
  test.Check(OutcomeKind::Completed, 1, 0);
}

Test(RequestOnce, RetriesElsewhereAfterRefusal)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Refuse;
  cr_assert_eq(test.Issue().status_, 200);
  test.Check(OutcomeKind::Completed, 1, 1);
}

// Guards against reporting a request that all servers refused as one that ran.
Test(RequestOnce, ReportsNotRunWhenAllServersRefuse)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Refuse;
  test.second_.mode_ = ScriptedServer::Mode::Refuse;
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(RanOf(reply), "not_run");
  cr_assert_not(FindHeader(reply.headers_, "Retry-After").empty());
  test.Check(OutcomeKind::NotRun, 1, 1);
}

// Guards against a status that promises no run, passed on from a server that
// ran the request and did not deny it.
Test(RequestOnce, AStatusThatPromisesNoRunNeedsTheServersDenial)
{
  for (const char* service : { "bare", "look" }) {
    for (const int status : { 503, 421, 408 }) {
      Case test;
      test.Build();
      test.first_.mode_ = ScriptedServer::Mode::Fail;
      test.first_.failStatus_ = status;
      const auto reply = test.Issue(service);
      cr_expect_eq(reply.status_, 502, "%s %d", service, status);
      cr_expect_eq(RanOf(reply), "ran", "%s %d", service, status);
      cr_expect(FindHeader(reply.headers_, "Retry-After").empty());
      test.Check(OutcomeKind::Failed, 1, 0);
    }
  }
}

Test(RequestOnce, ReturnsStoredReplyOfBrokenCallThatRan)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Disconnect;
  test.first_.status_ = { { "ran", true }, { "reply", "{\"n\":7}" } };
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 200);
  cr_assert_eq(reply.body_, "{\"n\":7}");
  test.Check(OutcomeKind::Completed, 1, 0);
}

Test(RequestOnce, FailsBrokenCallThatRanWithoutStoredReply)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Disconnect;
  test.first_.status_ = { { "ran", true } };
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 502);
  cr_assert_eq(RanOf(reply), "ran");
  test.Check(OutcomeKind::Failed, 1, 0);
}

Test(RequestOnce, RetriesElsewhereWhenBrokenCallDidNotRun)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Disconnect;
  test.first_.status_ = { { "ran", false } };
  cr_assert_eq(test.Issue().status_, 200);
  cr_assert_eq(test.first_.statusQueries_, kNotRunConfirmations);
  test.Check(OutcomeKind::Completed, 1, 1);
}

Test(RequestOnce, ReportsUnknownWithoutStatusFromServer)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Disconnect;
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 502);
  cr_assert_eq(RanOf(reply), "unknown");
  cr_assert_eq(test.first_.statusQueries_, kMaxStatusFailures);
  test.Check(OutcomeKind::Unknown, 1, 0);
}

Test(RequestOnce, ReportsUnknownForServiceWithoutStatusPath)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Disconnect;
  const auto reply = test.Issue("bare");
  cr_assert_eq(RanOf(reply), "unknown");
  cr_assert_eq(test.first_.statusQueries_, 0U);
  test.Check(OutcomeKind::Unknown, 1, 0);
}

Test(RequestOnce, QueriesStatusOfSilentCall)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Silent;
  test.first_.status_ = { { "ran", true }, { "reply", "{\"n\":9}" } };
  cr_assert_eq(test.Issue().body_, "{\"n\":9}");
  test.Check(OutcomeKind::Completed, 1, 0);
}

// Guards against losing the outcome of an unrepeatable request whose caller
// disconnects.
Test(RequestOnce, RecordsOutcomeAfterCallerDisconnects)
{
  Case test;
  test.Build();
  test.first_.mode_ = ScriptedServer::Mode::Silent;
  test.fixture_->Send(HttpMethod::Post, "/services/desk/certificates", "{}");
  test.testbed_.RunLoopUntil([&] { return test.first_.calls_ == 1; });
  test.fixture_->lastCall_->Cancel();
  test.testbed_.RunLoopUntil(
    [&] { return test.fixture_->callerServer_.OpenExchanges() == 0; });
  test.first_.openExchanges_[0]->Reply(200, {}, "late");
  test.testbed_.RunLoopUntil(
    [&] { return !test.testbed_.ledger_.outcomes_.empty(); });
  test.Check(OutcomeKind::Completed, 1, 0);
}

// Guards against two instances sending the request when the reply to a handover
// is lost.
Test(RequestOnce, DoesNotResumeAfterUncertainHandover)
{
  Case test;
  test.Build();
  test.fixture_->scheduler_.servers_.clear();
  RequestFixture successor(test.testbed_, "successor");
  LinkFixtures({ test.fixture_.get(), &successor });
  test.fixture_->peers_.dropsReplies_ = true;
  // Hands over before a slot is granted: the request is claimed but not sent.
  test.fixture_->scheduler_.servers_ = test.testbed_.servers_;
  const auto view = test.fixture_->Send(
    HttpMethod::Post, "/services/desk/certificates", "{}", "k");
  test.testbed_.RunLoopUntil(
    [&] { return !test.testbed_.ledger_.registered_.empty(); });
  test.fixture_->api_.HandOverAll(test.testbed_.clock_.Now() +
                                  std::chrono::seconds(5));
  test.testbed_.AdvanceClockUntil(
    [&] { return view->isEnded_ && !test.testbed_.ledger_.outcomes_.empty(); });
  cr_assert_eq(view->reply_.end_, HttpEnd::Broken);
  test.Check(OutcomeKind::Completed, 1, 0);
}
