#include "platformapi/BackendStandIn.h"

#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

namespace sycamoreward::standin {

namespace {

std::string
Field(const http::CallerExchange& aExchange, const char* aName)
{
  const std::string* value = aExchange.head_.Find(aName);
  return value == nullptr ? "" : *value;
}

std::string
EventText(const std::string& aRequest, int aNumber, const std::string& aLineEnd)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + aLineEnd + "data: " + aRequest + "/" + number +
         aLineEnd + aLineEnd;
}

} // namespace

BackendStandIn::BackendStandIn(EventLoop& aLoop, BackendOptions aOptions)
  : firstDelay_(aOptions.firstDelay_)
  , loop_(aLoop)
  , options_(std::move(aOptions))
{
  Listen({ "127.0.0.1", 0 });
  address_ = server_->BoundAddress();
}

BackendStandIn::~BackendStandIn()
{
  loop_.CancelTimer(restartTimer_);
}

void
BackendStandIn::Listen(const Address& aAddress)
{
  server_ = std::make_unique<http::CallerServer>(
    loop_,
    aAddress,
    [this](const std::shared_ptr<http::CallerExchange>& aExchange) {
      Handle(aExchange);
    });
}

bool
BackendStandIn::IsCrashing(const http::CallerExchange& aExchange) const
{
  const bool hasPart =
    !crashPart_.empty() &&
    Field(aExchange, "X-Prefix-Hash").find(crashPart_) != std::string::npos;
  return hasPart || (!crashBody_.empty() && aExchange.body_ == crashBody_);
}

void
BackendStandIn::Crash()
{
  if (server_ == nullptr) {
    return;
  }
  server_.reset();
  crashes_.push_back(loop_.GetClock().Now());
  if (onCrashed_) {
    onCrashed_();
  }
  restartTimer_ = loop_.CallAfter(restartDelay_, [this] {
    ++incarnation_;
    Listen(address_);
    if (onRestarted_) {
      onRestarted_();
    }
  });
}

std::string
BackendStandIn::Entry(const char* aState) const
{
  return nlohmann::json{
    { "service", options_.service_ },
    { "address", ToString(BoundAddress()) },
    { "zone", options_.domain_ },
    { "version", "v1" },
    { "slots", 16 },
    { "state", aState },
    { "cold-remaining-ms", 0 },
    { "born", incarnation_ },
    { "sequence", 1 }
  }.dump();
}

std::string
BackendStandIn::AnswerBody(const std::string& aRequest,
                           int aEvents,
                           const std::string& aLineEnd)
{
  if (aEvents == 0) {
    return "answer to " + aRequest;
  }
  std::string body;
  for (int number = 1; number <= aEvents; ++number) {
    body += EventText(aRequest, number, aLineEnd);
  }
  return body;
}

std::string
BackendStandIn::StreamText(const std::string& aRequest,
                           int aFirst,
                           BackendFault aFault) const
{
  std::string text;
  if (aFault == BackendFault::EndBefore) {
    return text;
  }
  for (int number = aFirst; number <= options_.events_; ++number) {
    const std::string event = EventText(aRequest, number, lineEnd_);
    if (aFault == BackendFault::EndWithin && number > options_.events_ / 2) {
      return text + event.substr(0, event.size() / 2);
    }
    text += event;
  }
  return text;
}

BackendFault
BackendStandIn::ConsumeFault()
{
  const BackendFault fault = fault_;
  if (faultCount_ > 0 && --faultCount_ == 0) {
    fault_ = BackendFault::None;
    faultCount_ = -1;
  }
  return fault;
}

void
BackendStandIn::AddState(http::ResponseHead& aHead) const
{
  if (!limit_.empty()) {
    aHead.fields_.push_back({ "Server-Limit", limit_ });
  }
  if (!leaving_.empty()) {
    aHead.fields_.push_back({ "Server-Leaving", leaving_ });
  }
}

void
BackendStandIn::AnswerFailure(http::CallerExchange& aExchange,
                              int aStatus,
                              bool aIsRun)
{
  http::ResponseHead head;
  head.status_ = aStatus;
  head.reason_ = "Stand-in";
  head.fields_.push_back({ "X-Request-Id", Field(aExchange, "X-Request-Id") });
  if (!aIsRun) {
    head.fields_.push_back({ "X-Not-Executed", "1" });
  }
  AddState(head);
  aExchange.Answer(std::move(head), "failed");
}

void
BackendStandIn::AnswerNotFound(http::CallerExchange& aExchange)
{
  http::ResponseHead head;
  head.status_ = 404;
  head.reason_ = "Not Found";
  head.fields_ = { { "X-Request-Id", Field(aExchange, "X-Request-Id") },
                   { "Content-Type", "application/json" } };
  AddState(head);
  aExchange.Start(std::move(head), { http::BodyEnd::Chunked, 0 });
  aExchange.Send("{\"error\":\"no such sheet\"}");
  aExchange.Finish();
}

void
BackendStandIn::Handle(const std::shared_ptr<http::CallerExchange>& aExchange)
{
  arrivals_.push_back(loop_.GetClock().Now());
  const BackendFault fault = ConsumeFault();
  const bool isExpected =
    Field(*aExchange, "X-Expect-Instance") == options_.id_;
  if (!isExpected || fault == BackendFault::OtherServer) {
    AnswerFailure(*aExchange, 421, false);
    return;
  }
  if (fault == BackendFault::NotRun) {
    AnswerFailure(*aExchange, 503, false);
    return;
  }
  Run(aExchange, fault);
}

void
BackendStandIn::Run(const std::shared_ptr<http::CallerExchange>& aExchange,
                    BackendFault aFault)
{
  BackendRun run;
  run.request_ = Field(*aExchange, "X-Request-Id");
  run.workspace_ = Field(*aExchange, "X-Tenant");
  run.lastEvent_ = Field(*aExchange, "Last-Event-Id");
  run.target_ = aExchange->head_.target_;
  run.body_ = aExchange->body_;
  run.hasKey_ = aExchange->head_.Find("Api-Key") != nullptr;
  runs_.push_back(run);
  const std::size_t index = runs_.size() - 1;
  switch (aFault) {
    case BackendFault::CutBefore:
      aExchange->Abort();
      return;
    case BackendFault::Silent:
      return;
    case BackendFault::Error:
      AnswerFailure(*aExchange, 500, true);
      return;
    case BackendFault::NotFound:
      AnswerNotFound(*aExchange);
      return;
    default:
      break;
  }
  const bool isCrashing = IsCrashing(*aExchange);
  loop_.CallAfter(firstDelay_, [this, aExchange, index, aFault, isCrashing] {
    http::ResponseHead head;
    head.status_ = 200;
    head.reason_ = "OK";
    head.fields_ = { { "X-Request-Id", runs_[index].request_ },
                     { "X-Response-Signature", "sig-" + runs_[index].request_ },
                     { "X-Backend-Load", "1,0,16,100" } };
    AddState(head);
    if (options_.events_ > 0) {
      head.fields_.push_back({ "Content-Type", "text/event-stream" });
      const std::string& last = runs_[index].lastEvent_;
      const int first = last.empty() ? 1 : std::stoi(last) + 1;
      const std::string text = StreamText(runs_[index].request_, first, aFault);
      aExchange->Start(std::move(head), { framing_, text.size() });
      if (isCrashing) {
        loop_.CallAfter(options_.eventDelay_, [this] { Crash(); });
        return;
      }
      const bool isCutInOrder =
        aFault == BackendFault::EndWithin || aFault == BackendFault::EndBefore;
      if (isCutInOrder) {
        aExchange->Send(text);
        aExchange->Finish();
        return;
      }
      SendEvent(aExchange, index, first, aFault);
      return;
    }
    const std::string body = AnswerBody(runs_[index].request_, 0);
    if (isCrashing) {
      Crash();
      return;
    }
    aExchange->Start(std::move(head), { http::BodyEnd::Length, body.size() });
    if (aFault == BackendFault::CutWithin) {
      aExchange->Send(body.substr(0, body.size() / 2));
      loop_.CallAfter(options_.eventDelay_,
                      [aExchange] { aExchange->Abort(); });
      return;
    }
    aExchange->Send(body);
    runs_[index].isEnded_ = true;
    aExchange->Finish();
  });
}

void
BackendStandIn::SendEvent(
  const std::shared_ptr<http::CallerExchange>& aExchange,
  std::size_t aRun,
  int aNext,
  BackendFault aFault)
{
  if (aNext > options_.events_) {
    runs_[aRun].isEnded_ = true;
    aExchange->Finish();
    return;
  }
  const std::string text = EventText(runs_[aRun].request_, aNext, lineEnd_);
  if (aFault == BackendFault::CutWithin && aNext > options_.events_ / 2) {
    // Simulates a server that fails in the middle of an event.
    aExchange->Send(text.substr(0, text.size() / 2));
    loop_.CallAfter(options_.eventDelay_, [aExchange] { aExchange->Abort(); });
    return;
  }
  aExchange->Send(text);
  loop_.CallAfter(options_.eventDelay_, [this, aExchange, aRun, aNext, aFault] {
    SendEvent(aExchange, aRun, aNext + 1, aFault);
  });
}

} // namespace sycamoreward::standin
