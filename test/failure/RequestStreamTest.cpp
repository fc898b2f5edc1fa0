// Streams that break, go silent or end early must be resumed at the exact
// token, and a cut answer must never look complete.

#include "support/RequestWorld.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

constexpr std::size_t kLength = 20;

std::string
TokenAt(std::size_t aIndex)
{
  return "t" + std::to_string(aIndex) + " ";
}

std::string
WholeText()
{
  std::string text;
  for (std::size_t index = 0; index < kLength; ++index) {
    text += TokenAt(index);
  }
  return text;
}

// An engine whose first attempts fail after some tokens.
struct Engine
{
  enum class Fault
  {
    None,
    Break,
    Silent,
    // Ends the reply properly but without the end mark.
    NoEndMark,
    // Leaves a token out.
    Skip,
    // Sends nothing at all.
    Mute
  };

  Fault fault_ = Fault::None;
  std::size_t faultAt_ = 7;
  std::vector<std::size_t> resumedAt_;
  unsigned cancelled_ = 0;
  std::vector<std::shared_ptr<HttpExchange>> held_;

  HttpServer::Handler Handler()
  {
    return [this](std::shared_ptr<HttpExchange> aExchange) {
      const auto body = nlohmann::json::parse(aExchange->Request().body_);
      const std::size_t from = body["resume_tokens"].size();
      const unsigned attempt = body["attempt"];
      resumedAt_.push_back(from);
      aExchange->OnCallerGone([this] { ++cancelled_; });
      aExchange->StartReply(200, { { "Content-Type", "text/event-stream" } });
      if (fault_ == Fault::Mute) {
        held_.push_back(aExchange);
        return;
      }
      std::string events;
      const std::size_t end =
        fault_ == Fault::None || fault_ == Fault::Skip ? kLength : faultAt_;
      for (std::size_t index = from; index < end; ++index) {
        if (fault_ != Fault::Skip || index != faultAt_) {
          events += TokenEvent(attempt, index, TokenAt(index));
        }
      }
      aExchange->SendChunk(events);
      if (end == kLength) {
        aExchange->SendChunk(EndEvents(attempt, kLength));
      }
      Finish(aExchange);
    };
  }

  void Finish(const std::shared_ptr<HttpExchange>& aExchange)
  {
    if (fault_ == Fault::Silent) {
      held_.push_back(aExchange);
    } else if (fault_ == Fault::Break) {
      aExchange->OnDrained([aExchange] { aExchange->Abort(); });
    } else {
      aExchange->EndReply();
    }
  }
};

struct Case
{
  RequestNet net_;
  Engine first_;
  Engine second_;
  std::unique_ptr<RequestWorld> world_;

  void Build(bool aHasSecond = true)
  {
    net_.AddBackend("first", first_.Handler());
    if (aHasSecond) {
      net_.AddBackend("second", second_.Handler());
    }
    world_ = std::make_unique<RequestWorld>(net_, "entry");
  }
  HttpClientReply Ask(bool aIsStream = true, const std::string& aKey = "")
  {
    return world_->Fetch(
      HttpMethod::Post, "/v1/completions", CompletionBody(aIsStream), aKey);
  }
  void CheckResumed(Engine::Fault aFault)
  {
    first_.fault_ = aFault;
    Build();
    const auto reply = Ask();
    cr_assert_eq(reply.end_, HttpEnd::Complete);
    cr_assert_eq(StreamText(reply.body_), WholeText());
    cr_assert_neq(reply.body_.find("data: [DONE]\n\n"), std::string::npos);
    cr_assert_eq(second_.resumedAt_, std::vector<std::size_t>{ 7 });
    CheckSlots(OutcomeKind::Completed);
  }
  void CheckSlots(OutcomeKind aKind)
  {
    cr_assert_eq(net_.ledger_.outcomes_.size(), 1U);
    cr_assert_eq(net_.ledger_.outcomes_[0].kind_, aKind);
    cr_assert(world_->scheduler_.slotsInUse_.empty());
    cr_assert_eq(world_->scheduler_.unmatchedEnds_, 0U);
  }
};

} // namespace

Test(RequestStream, WholeAnswersComeAsStreamAndAsObject)
{
  Case test;
  test.Build();
  const auto stream = test.Ask();
  cr_assert_eq(StreamText(stream.body_), WholeText());
  cr_assert_not(FindHeader(stream.headers_, "X-Request-Id").empty());
  const auto object = nlohmann::json::parse(test.Ask(false).body_);
  cr_assert_eq(object["choices"][0]["text"].get<std::string>(), WholeText());
  cr_assert_eq(object["usage"]["completion_tokens"].get<int>(), int(kLength));
}

Test(RequestStream, BrokenStreamsAreResumed)
{
  Case().CheckResumed(Engine::Fault::Break);
}

Test(RequestStream, SilentStreamsAreResumed)
{
  Case().CheckResumed(Engine::Fault::Silent);
}

Test(RequestStream, StreamsWithoutEndMarkAreResumed)
{
  Case().CheckResumed(Engine::Fault::NoEndMark);
}

Test(RequestStream, StreamsThatLoseATokenAreResumed)
{
  Case().CheckResumed(Engine::Fault::Skip);
}

// With no other server the caller must see that the answer is cut.
Test(RequestStream, CutStreamsHaveNoEndMark)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Break;
  test.Build(false);
  const auto reply = test.Ask();
  cr_assert_eq(reply.end_, HttpEnd::Broken);
  cr_assert_eq(reply.body_.find("[DONE]"), std::string::npos);
  test.CheckSlots(OutcomeKind::Failed);
}

Test(RequestStream, CutObjectsAreErrors)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Break;
  test.Build(false);
  const auto reply = test.Ask(false);
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(reply.body_.find("t0"), std::string::npos);
  test.CheckSlots(OutcomeKind::Failed);
}

Test(RequestStream, HedgesAnswerForASlowServerAndTheLoserIsCancelled)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Mute;
  test.Build();
  test.world_->scheduler_.hedgeDelay_ = std::chrono::milliseconds(200);
  const auto reply = test.Ask();
  cr_assert_eq(StreamText(reply.body_), WholeText());
  cr_assert_eq(test.second_.resumedAt_, std::vector<std::size_t>{ 0 });
  test.net_.Until([&] { return test.first_.cancelled_ == 1; });
  test.CheckSlots(OutcomeKind::Completed);
}

Test(RequestStream, RequestsWithoutKeyEndWithTheirCaller)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Mute;
  test.Build();
  test.world_->Send(HttpMethod::Post, "/v1/completions", CompletionBody(true));
  test.net_.Until([&] { return test.first_.resumedAt_.size() == 1; });
  test.world_->lastCall_->Cancel();
  test.net_.Until([&] { return test.first_.cancelled_ == 1; });
  test.CheckSlots(OutcomeKind::Failed);
}

// A second caller with the same key joins the running request.
Test(RequestStream, CallersWithOneKeyShareOneRun)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Silent;
  test.Build();
  const auto body = CompletionBody(true);
  const auto one =
    test.world_->Send(HttpMethod::Post, "/v1/completions", body, "k");
  const auto two =
    test.world_->Send(HttpMethod::Post, "/v1/completions", body, "k");
  test.net_.PassTimeUntil([&] { return one->isEnded_ && two->isEnded_; });
  cr_assert_eq(StreamText(one->reply_.body_), WholeText());
  cr_assert_eq(one->reply_.body_, two->reply_.body_);
  cr_assert_eq(test.first_.resumedAt_.size(), 1U);
  test.CheckSlots(OutcomeKind::Completed);
  // Later callers get the kept answer; only the time of the reply differs.
  const auto later = test.Ask(true, "k");
  cr_assert_eq(StreamText(later.body_), WholeText());
  cr_assert_eq(FindHeader(later.headers_, "X-Request-Id"),
               FindHeader(one->reply_.headers_, "X-Request-Id"));
  cr_assert_eq(test.first_.resumedAt_.size(), 1U);
}

// On a reclaim the caller's stream is cut, and the key gives the whole answer
// at another instance, with no token computed twice.
Test(RequestStream, HandedOverStreamsGoOnAtTheExactToken)
{
  Case test;
  test.first_.fault_ = Engine::Fault::Silent;
  test.Build();
  RequestWorld successor(test.net_, "successor");
  RequestWorld third(test.net_, "third");
  LinkWorlds({ test.world_.get(), &successor });
  LinkWorlds({ &third, &successor });
  successor.scheduler_.servers_ = { test.net_.servers_[1] };
  test.second_.fault_ = Engine::Fault::Silent;
  test.second_.faultAt_ = 12;
  const auto body = CompletionBody(true);
  const auto cut =
    test.world_->Send(HttpMethod::Post, "/v1/completions", body, "k");
  test.net_.Until(
    [&] { return StreamText(cut->reply_.body_).size() == 7 * 3; });
  test.world_->api_.HandOverAll(test.net_.clock_.Now() +
                                std::chrono::seconds(5));
  test.net_.PassTimeUntil(
    [&] { return cut->isEnded_ && test.second_.resumedAt_.size() == 1; });
  cr_assert_eq(cut->reply_.end_, HttpEnd::Broken);
  cr_assert_eq(cut->reply_.body_.find("[DONE]"), std::string::npos);
  cr_assert_eq(test.second_.resumedAt_[0], 7U);
  // A third instance follows the successor.
  const auto joined =
    third.Send(HttpMethod::Post, "/v1/completions", body, "k");
  test.net_.Until([&] { return !joined->reply_.body_.empty(); });
  test.first_.fault_ = Engine::Fault::None;
  successor.scheduler_.servers_ = test.net_.servers_;
  test.net_.PassTimeUntil([&] { return joined->isEnded_; });
  cr_assert_eq(joined->reply_.end_, HttpEnd::Complete);
  cr_assert_eq(StreamText(joined->reply_.body_), WholeText());
  test.CheckSlots(OutcomeKind::Completed);
}
