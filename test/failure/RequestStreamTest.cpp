// Guards against streams that are not resumed at the exact token after they
// break, go silent or end early, and against truncated answers that look
// complete.

#include "support/RequestFixture.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

constexpr std::size_t kTokenCount = 20;

std::string
TokenAt(std::size_t aIndex)
{
  return "t" + std::to_string(aIndex) + " ";
}

std::string
FullText()
{
  std::string text;
  for (std::size_t index = 0; index < kTokenCount; ++index) {
    text += TokenAt(index);
  }
  return text;
}

// An engine whose attempts fail after some tokens.
struct Engine
{
  enum class Fault
  {
    None,
    Disconnect,
    Silent,
    // Ends the HTTP reply normally but without the end mark.
    NoEndMark,
    // Omits a token.
    SkipToken,
    // Sends only the reply's head.
    NoEvents
  };

  Fault fault_ = Fault::None;
  std::size_t faultAt_ = 7;
  std::vector<std::size_t> resumedAt_;
  unsigned cancelled_ = 0;
  std::vector<std::shared_ptr<HttpExchange>> openExchanges_;

  HttpServer::Handler Handler()
  {
    return [this](std::shared_ptr<HttpExchange> aExchange) {
      const auto body = nlohmann::json::parse(aExchange->Request().body_);
      const std::size_t from = body["resume_tokens"].size();
      const unsigned attempt = body["attempt"];
      resumedAt_.push_back(from);
      aExchange->OnCallerGone([this] { ++cancelled_; });
      aExchange->StartReply(200, { { "Content-Type", "text/event-stream" } });
      if (fault_ == Fault::NoEvents) {
        openExchanges_.push_back(aExchange);
        return;
      }
      std::string events;
      const std::size_t end =
        fault_ == Fault::None || fault_ == Fault::SkipToken ? kTokenCount
                                                            : faultAt_;
      for (std::size_t index = from; index < end; ++index) {
        if (fault_ != Fault::SkipToken || index != faultAt_) {
          events += TokenEvent(attempt, index, TokenAt(index));
        }
      }
      aExchange->SendChunk(events);
      if (end == kTokenCount) {
        aExchange->SendChunk(EndEvents(attempt, kTokenCount));
      }
      Finish(aExchange);
    };
  }

  void Finish(const std::shared_ptr<HttpExchange>& aExchange)
  {
    if (fault_ == Fault::Silent) {
      openExchanges_.push_back(aExchange);
    } else if (fault_ == Fault::Disconnect) {
      aExchange->OnDrained([aExchange] { aExchange->Abort(); });
    } else {
      aExchange->EndReply();
    }
  }
};

struct Case
{
  RequestTestbed testbed_;
  Engine first_;
  Engine second_;
  std::unique_ptr<RequestFixture> fixture_;

  void Build(bool aHasSecond = true)
  {
    testbed_.AddBackend("first", first_.Handler());
    if (aHasSecond) {
      testbed_.AddBackend("second", second_.Handler());
    }
    fixture_ = std::make_unique<RequestFixture>(testbed_, "entry");
  }
  HttpClientReply RequestCompletion(bool aIsStream = true,
                                    const std::string& aKey = "")
  {
    return fixture_->Fetch(
      HttpMethod::Post, "/v1/completions", CompletionBody(aIsStream), aKey);
  }
  void CheckResumed(Engine::Fault aFault)
  {
    first_.fault_ = aFault;
    Build();
    const auto reply = RequestCompletion();
    cr_assert_eq(reply.end_, HttpEnd::Complete);
    cr_assert_eq(StreamText(reply.body_), FullText());
    cr_assert_neq(reply.body_.find("data: [DONE]\n\n"), std::string::npos);
    cr_assert_eq(second_.resumedAt_, std::vector<std::size_t>{ 7 });
    CheckSlots(OutcomeKind::Completed);
  }
  void CheckSlots(OutcomeKind aKind)
  {
    cr_assert_eq(testbed_.ledger_.outcomes_.size(), 1U);
    cr_assert_eq(testbed_.ledger_.outcomes_[0].kind_, aKind);
    cr_assert(fixture_->scheduler_.slotsInUse_.empty());
    cr_assert_eq(fixture_->scheduler_.unmatchedEnds_, 0U);
  }
};

} // namespace

Test(RequestStream, ReturnsCompleteAnswersAsStreamAndAsObject)
{
  Case test;
  test.Build();
  const auto stream = test.RequestCompletion();
  cr_assert_eq(StreamText(stream.body_), FullText());
  cr_assert_not(FindHeader(stream.headers_, "X-Request-Id").empty());
  const auto object =
    nlohmann::json::parse(test.RequestCompletion(false).body_);
  cr_assert_eq(object["choices"][0]["text"].get<std::string>(), FullText());
  cr_assert_eq(object["usage"]["completion_tokens"].get<int>(),
               int(kTokenCount));
}

Test(RequestStream, ResumesBrokenStreams)
{
  Case().CheckResumed(Engine::Fault::Disconnect);
}

Test(RequestStream, ResumesSilentStreams)
{
  Case().CheckResumed(Engine::Fault::Silent);
}

Test(RequestStream, ResumesStreamsWithoutEndMark)
{
  Case().CheckResumed(Engine::Fault::NoEndMark);
}

Test(RequestStream, ResumesStreamsWithMissingToken)
{
  Case().CheckResumed(Engine::Fault::SkipToken);
}

// Without another server to resume at, the caller must be able to see that the
// answer is truncated.
Test(RequestStream, SendsNoEndMarkForTruncatedStreams)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Disconnect;
  test.Build(false);
  const auto reply = test.RequestCompletion();
  cr_assert_eq(reply.end_, HttpEnd::Broken);
  cr_assert_eq(reply.body_.find("[DONE]"), std::string::npos);
  test.CheckSlots(OutcomeKind::Failed);
}

Test(RequestStream, ReturnsErrorForTruncatedObjects)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Disconnect;
  test.Build(false);
  const auto reply = test.RequestCompletion(false);
  // The engine began to run it, so no status may promise that it has not run.
  cr_assert_eq(reply.status_, 502);
  cr_assert_neq(reply.body_.find("\"ran\":\"ran\""), std::string::npos);
  cr_assert_eq(reply.body_.find("t0"), std::string::npos);
  test.CheckSlots(OutcomeKind::Failed);
}

Test(RequestStream, HedgesSlowServerAndCancelsLoser)
{
  Case test;
  test.first_.fault_ = Engine::Fault::NoEvents;
  test.Build();
  test.fixture_->scheduler_.hedgeDelay_ = std::chrono::milliseconds(200);
  const auto reply = test.RequestCompletion();
  cr_assert_eq(StreamText(reply.body_), FullText());
  cr_assert_eq(test.second_.resumedAt_, std::vector<std::size_t>{ 0 });
  test.testbed_.RunLoopUntil([&] { return test.first_.cancelled_ == 1; });
  test.CheckSlots(OutcomeKind::Completed);
}

Test(RequestStream, CancelsUnkeyedRequestWhenCallerDisconnects)
{
  Case test;
  test.first_.fault_ = Engine::Fault::NoEvents;
  test.Build();
  test.fixture_->Send(
    HttpMethod::Post, "/v1/completions", CompletionBody(true));
  test.testbed_.RunLoopUntil(
    [&] { return test.first_.resumedAt_.size() == 1; });
  test.fixture_->lastCall_->Cancel();
  test.testbed_.RunLoopUntil([&] { return test.first_.cancelled_ == 1; });
  test.CheckSlots(OutcomeKind::Failed);
}

// A second caller with the same key attaches to the running request.
Test(RequestStream, SharesOneRunAmongCallersWithSameKey)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Silent;
  test.Build();
  const auto body = CompletionBody(true);
  const auto one =
    test.fixture_->Send(HttpMethod::Post, "/v1/completions", body, "k");
  const auto two =
    test.fixture_->Send(HttpMethod::Post, "/v1/completions", body, "k");
  test.testbed_.AdvanceClockUntil(
    [&] { return one->isEnded_ && two->isEnded_; });
  cr_assert_eq(StreamText(one->reply_.body_), FullText());
  cr_assert_eq(one->reply_.body_, two->reply_.body_);
  cr_assert_eq(test.first_.resumedAt_.size(), 1U);
  test.CheckSlots(OutcomeKind::Completed);
  // Later callers get the cached answer; only the time of the reply differs.
  const auto later = test.RequestCompletion(true, "k");
  cr_assert_eq(StreamText(later.body_), FullText());
  cr_assert_eq(FindHeader(later.headers_, "X-Request-Id"),
               FindHeader(one->reply_.headers_, "X-Request-Id"));
  cr_assert_eq(test.first_.resumedAt_.size(), 1U);
}

// When an instance is reclaimed, the caller's stream is closed; a retry with
// the same key gets the whole answer from another instance, and no token is
// computed twice.
Test(RequestStream, ResumesHandedOverStreamsAtExactToken)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Silent;
  test.Build();
  RequestFixture successor(test.testbed_, "successor");
  RequestFixture third(test.testbed_, "third");
  LinkFixtures({ test.fixture_.get(), &successor });
  LinkFixtures({ &third, &successor });
  successor.scheduler_.servers_ = { test.testbed_.servers_[1] };
  test.second_.fault_ = Engine::Fault::Silent;
  test.second_.faultAt_ = 12;
  const auto body = CompletionBody(true);
  const auto cut =
    test.fixture_->Send(HttpMethod::Post, "/v1/completions", body, "k");
  test.testbed_.RunLoopUntil(
    [&] { return StreamText(cut->reply_.body_).size() == 7 * 3; });
  test.fixture_->api_.HandOverAll(test.testbed_.clock_.Now() +
                                  std::chrono::seconds(5));
  test.testbed_.AdvanceClockUntil(
    [&] { return cut->isEnded_ && test.second_.resumedAt_.size() == 1; });
  cr_assert_eq(cut->reply_.end_, HttpEnd::Broken);
  cr_assert_eq(cut->reply_.body_.find("[DONE]"), std::string::npos);
  cr_assert_eq(test.second_.resumedAt_[0], 7U);
  // A third instance streams the answer from the successor.
  const auto joined =
    third.Send(HttpMethod::Post, "/v1/completions", body, "k");
  test.testbed_.RunLoopUntil([&] { return !joined->reply_.body_.empty(); });
  test.first_.fault_ = Engine::Fault::None;
  successor.scheduler_.servers_ = test.testbed_.servers_;
  test.testbed_.AdvanceClockUntil([&] { return joined->isEnded_; });
  cr_assert_eq(joined->reply_.end_, HttpEnd::Complete);
  cr_assert_eq(StreamText(joined->reply_.body_), FullText());
  test.CheckSlots(OutcomeKind::Completed);
}
