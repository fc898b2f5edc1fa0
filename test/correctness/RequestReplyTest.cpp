// Guards against unbounded buffering for slow callers, and against a slow
// caller delaying other callers of the same answer.

#include "requests/CallerConnection.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

class FakeExchange final : public HttpExchange
{
public:
  const HttpServerRequest& Request() const override { return request_; }
  void Reply(int, const HttpHeaders&, std::string_view) override {}
  void StartReply(int, const HttpHeaders&) override {}
  void SendChunk(std::string_view aData) override
  {
    ++chunks_;
    buffered_ += aData.size();
    text_ += aData;
  }
  void EndReply() override { isEnded_ = true; }
  void Abort() override { isAborted_ = true; }
  Bytes BufferedBytes() const override { return Bytes(buffered_); }
  void OnDrained(std::function<void()> aCallback) override
  {
    onDrained_ = std::move(aCallback);
  }
  void OnCallerGone(std::function<void()>) override {}
  bool IsCallerGone() const override { return false; }
  void Drain()
  {
    buffered_ = 0;
    onDrained_();
  }

  HttpServerRequest request_;
  std::uint64_t buffered_ = 0;
  std::string text_;
  unsigned chunks_ = 0;
  bool isEnded_ = false;
  bool isAborted_ = false;
  std::function<void()> onDrained_;
};

ReplyForm
StreamForm()
{
  ReplyForm form;
  form.kind_ = ReplyKind::Stream;
  return form;
}

} // namespace

// Guards against answers in progress that add up without a bound.
Test(RequestReply, AnswersAreAccountedForAsLongAsTheyAreKept)
{
  SystemClock clock;
  const auto accounts = std::make_shared<ClientAccounts>(clock, ClientBounds());
  auto log = std::make_shared<AnswerLog>(RequestId("r"), accounts);
  constexpr std::size_t kParts = 1000;
  for (std::size_t part = 0; part < kParts; ++part) {
    log->Append("token");
  }
  cr_expect_geq(accounts->HeldBytes(), kParts * sizeof(std::string));
  log->End("stop");
  cr_expect_gt(accounts->HeldBytes(), 0);
  log.reset();
  cr_expect_eq(accounts->HeldBytes(), 0);
}

Test(RequestReply, BlocksSourceOnlyWhileAllCallersLag)
{
  const auto log = std::make_shared<AnswerLog>(RequestId("r"));
  bool isBlocked = false;
  log->OnFlow([&](bool aIsBlocked) { isBlocked = aIsBlocked; });
  const auto one = std::make_shared<FakeExchange>();
  const auto two = std::make_shared<FakeExchange>();
  CallerConnection::Attach(one, log, StreamForm());
  CallerConnection::Attach(two, log, StreamForm());
  const std::string large(CallerConnection::kMaxUnreadBytes, 'x');
  log->Append(large);
  log->Notify();
  cr_assert(isBlocked);
  two->Drain();
  cr_assert_not(isBlocked);
  log->Append("rest");
  log->Notify();
  cr_assert_eq(one->chunks_, 1U);
  cr_assert_eq(two->chunks_, 2U);
  log->End("stop");
  cr_assert(two->isEnded_);
  cr_assert_not(one->isEnded_);
  one->Drain();
  cr_assert(one->isEnded_);
  cr_assert_eq(one->text_, two->text_);
}

// Guards against one write per token when tokens arrive together.
Test(RequestReply, CoalescesPartsOfOneReadIntoOneWrite)
{
  const auto log = std::make_shared<AnswerLog>(RequestId("r"));
  const auto exchange = std::make_shared<FakeExchange>();
  CallerConnection::Attach(exchange, log, StreamForm());
  for (int part = 0; part < 10; ++part) {
    log->Append("token ");
  }
  log->Notify();
  cr_assert_eq(exchange->chunks_, 1U);
  // The connection and the log reference each other until the log ends.
  log->MarkMoved();
}

Test(RequestReply, AbortsFailedAndMovedAnswersWithoutEndMark)
{
  for (const bool isMoved : { false, true }) {
    const auto log = std::make_shared<AnswerLog>(RequestId("r"));
    const auto exchange = std::make_shared<FakeExchange>();
    CallerConnection::Attach(exchange, log, StreamForm());
    log->Append("token ");
    log->Notify();
    isMoved ? log->MarkMoved() : log->Fail(CallerError{});
    cr_assert(exchange->isAborted_);
    cr_assert_not(exchange->isEnded_);
    cr_assert_eq(exchange->text_.find("[DONE]"), std::string::npos);
  }
}
