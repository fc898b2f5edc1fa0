// Every way in which the call of an unrepeatable request can fail: the outcome
// must be true, the request must be sent as often as it may, and no slot may be
// lost.

#include "support/RequestWorld.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

// A server of the certificate desk.
struct Desk
{
  enum class Mode
  {
    Reply,
    Break,
    Silent,
    Refuse
  };

  Mode mode_ = Mode::Reply;
  // Reply to status questions; 404 when null.
  nlohmann::json status_;
  unsigned calls_ = 0;
  unsigned questions_ = 0;
  std::vector<std::shared_ptr<HttpExchange>> held_;

  HttpServer::Handler Handler()
  {
    return [this](std::shared_ptr<HttpExchange> aExchange) {
      if (aExchange->Request().path_.rfind("/status/", 0) == 0) {
        ++questions_;
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
        case Mode::Break:
          aExchange->Abort();
          return;
        case Mode::Silent:
          held_.push_back(aExchange);
          return;
        case Mode::Refuse:
          aExchange->Reply(503, { { "Sycamoreward-Ran", "not_run" } }, "");
          return;
      }
    };
  }
};

struct Case
{
  RequestNet net_;
  Desk first_;
  Desk second_;
  std::unique_ptr<RequestWorld> world_;

  void Build()
  {
    net_.AddBackend("first", first_.Handler());
    net_.AddBackend("second", second_.Handler());
    world_ = std::make_unique<RequestWorld>(net_, "entry");
  }
  HttpClientReply Issue(const std::string& aService = "desk")
  {
    return world_->Fetch(
      HttpMethod::Post, "/services/" + aService + "/certificates", "{}", "k");
  }
  void Check(OutcomeKind aKind, unsigned aFirst, unsigned aSecond)
  {
    cr_assert_eq(net_.ledger_.outcomes_.size(), 1U);
    cr_assert_eq(net_.ledger_.outcomes_[0].kind_, aKind);
    cr_assert_eq(first_.calls_, aFirst);
    cr_assert_eq(second_.calls_, aSecond);
    cr_assert(world_->scheduler_.slotsInUse_.empty());
    cr_assert_eq(world_->scheduler_.unmatchedEnds_, 0U);
    cr_assert_eq(world_->api_.RunningRequests(), 0U);
  }
};

std::string
RanOf(const HttpClientReply& aReply)
{
  return nlohmann::json::parse(aReply.body_)["error"]["ran"];
}

} // namespace

Test(RequestOnce, ARepliedCallIsRecordedAndItsAnswerIsKept)
{
  Case test;
  test.Build();
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 200);
  cr_assert_eq(reply.body_, "{\"n\":1}");
  test.Check(OutcomeKind::Completed, 1, 0);
  cr_assert(test.net_.ledger_.registered_[0].isDurable_);
  cr_assert_eq(test.net_.ledger_.outcomes_[0].answer_->body_, "{\"n\":1}");
  // The same key again gives the kept answer and no second call.
  const auto again = test.Issue();
  cr_assert_eq(again.body_, "{\"n\":1}");
  cr_assert_eq(FindHeader(again.headers_, "X-Request-Id"),
               FindHeader(reply.headers_, "X-Request-Id"));
  test.Check(OutcomeKind::Completed, 1, 0);
}

Test(RequestOnce, AnUnconfirmedClaimIsWithdrawnAndNothingIsSent)
{
  Case test;
  test.Build();
  test.net_.ledger_.forced_ = RegisterReply{};
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(RanOf(reply), "not_run");
  cr_assert_not(FindHeader(reply.headers_, "Retry-After").empty());
  test.Check(OutcomeKind::NotRun, 0, 0);
}

Test(RequestOnce, ACallThatDidNotConnectGoesElsewhere)
{
  Case test;
  test.net_.AddDeadBackend("dead");
  test.Build();
  cr_assert_eq(test.Issue().status_, 200);
  test.Check(OutcomeKind::Completed, 1, 0);
}

Test(RequestOnce, ARefusedCallGoesElsewhere)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Refuse;
  cr_assert_eq(test.Issue().status_, 200);
  test.Check(OutcomeKind::Completed, 1, 1);
}

// A refusal everywhere must not look like a request that ran.
Test(RequestOnce, ACallThatAllServersRefuseIsNotRun)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Refuse;
  test.second_.mode_ = Desk::Mode::Refuse;
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(RanOf(reply), "not_run");
  cr_assert_not(FindHeader(reply.headers_, "Retry-After").empty());
  test.Check(OutcomeKind::NotRun, 1, 1);
}

Test(RequestOnce, ABrokenCallThatRanGivesTheStoredReply)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Break;
  test.first_.status_ = { { "ran", true }, { "reply", "{\"n\":7}" } };
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 200);
  cr_assert_eq(reply.body_, "{\"n\":7}");
  test.Check(OutcomeKind::Completed, 1, 0);
}

Test(RequestOnce, ABrokenCallThatRanWithoutStoredReplyHasFailed)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Break;
  test.first_.status_ = { { "ran", true } };
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 502);
  cr_assert_eq(RanOf(reply), "ran");
  test.Check(OutcomeKind::Failed, 1, 0);
}

Test(RequestOnce, ABrokenCallThatDidNotRunGoesElsewhere)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Break;
  test.first_.status_ = { { "ran", false } };
  cr_assert_eq(test.Issue().status_, 200);
  cr_assert_eq(test.first_.questions_, kNotRunAnswers);
  test.Check(OutcomeKind::Completed, 1, 1);
}

Test(RequestOnce, ABrokenCallWhoseServerCannotSayIsUnknown)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Break;
  const auto reply = test.Issue();
  cr_assert_eq(reply.status_, 502);
  cr_assert_eq(RanOf(reply), "unknown");
  cr_assert_eq(test.first_.questions_, kMaxStatusFailures);
  test.Check(OutcomeKind::Unknown, 1, 0);
}

Test(RequestOnce, ABrokenCallOfAServiceWithoutStatusIsUnknown)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Break;
  const auto reply = test.Issue("bare");
  cr_assert_eq(RanOf(reply), "unknown");
  cr_assert_eq(test.first_.questions_, 0U);
  test.Check(OutcomeKind::Unknown, 1, 0);
}

Test(RequestOnce, ASilentCallIsAskedAbout)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Silent;
  test.first_.status_ = { { "ran", true }, { "reply", "{\"n\":9}" } };
  cr_assert_eq(test.Issue().body_, "{\"n\":9}");
  test.Check(OutcomeKind::Completed, 1, 0);
}

// The caller of an unrepeatable request may go; the outcome is recorded all the
// same.
Test(RequestOnce, ACallGoesOnWithoutItsCaller)
{
  Case test;
  test.Build();
  test.first_.mode_ = Desk::Mode::Silent;
  test.world_->Send(HttpMethod::Post, "/services/desk/certificates", "{}");
  test.net_.Until([&] { return test.first_.calls_ == 1; });
  test.world_->lastCall_->Cancel();
  test.net_.Until([&] { return test.world_->front_.OpenExchanges() == 0; });
  test.first_.held_[0]->Reply(200, {}, "late");
  test.net_.Until([&] { return !test.net_.ledger_.outcomes_.empty(); });
  test.Check(OutcomeKind::Completed, 1, 0);
}

// A handover whose reply is lost must not let both instances send the request.
Test(RequestOnce, AnUncertainHandoverIsNotTakenBack)
{
  Case test;
  test.Build();
  test.world_->scheduler_.servers_.clear();
  RequestWorld successor(test.net_, "successor");
  LinkWorlds({ test.world_.get(), &successor });
  test.world_->peers_.losesReplies_ = true;
  // Hand over before the slot is granted: the request is claimed, not sent.
  test.world_->scheduler_.servers_ = test.net_.servers_;
  const auto view = test.world_->Send(
    HttpMethod::Post, "/services/desk/certificates", "{}", "k");
  test.net_.Until([&] { return !test.net_.ledger_.registered_.empty(); });
  test.world_->api_.HandOverAll(test.net_.clock_.Now() +
                                std::chrono::seconds(5));
  test.net_.PassTimeUntil(
    [&] { return view->isEnded_ && !test.net_.ledger_.outcomes_.empty(); });
  cr_assert_eq(view->reply_.end_, HttpEnd::Broken);
  test.Check(OutcomeKind::Completed, 1, 0);
}
