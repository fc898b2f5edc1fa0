#include "StreamSource.h"

#include "runtime/EventLoop.h"
#include "runtime/HttpServer.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace sycamoreward::load {

namespace {

using nlohmann::json;

// The reply to one request. Sends the tokens that are due at each interval.
struct Stream : std::enable_shared_from_this<Stream>
{
  EventLoop& loop_;
  std::shared_ptr<HttpExchange> exchange_;
  std::uint64_t attempt_ = 1;
  std::uint64_t nextToken_ = 0;
  std::uint64_t tokenCount_ = 0;
  Duration interval_{ 0 };
  MonotonicTime start_{};

  Stream(EventLoop& aLoop, std::shared_ptr<HttpExchange> aExchange)
    : loop_(aLoop)
    , exchange_(std::move(aExchange))
  {
  }

  std::string MakeEvent(const char* aText, const char* aFinish) const
  {
    return R"(data: {"choices":[{"index":0,"text":")" + std::string(aText) +
           R"(","finish_reason":)" + aFinish + R"(}],"attempt":)" +
           std::to_string(attempt_) + R"(,"index":)" +
           std::to_string(nextToken_) + "}\n\n";
  }

  void SendDueTokens()
  {
    if (exchange_->IsCallerGone()) {
      return;
    }
    const auto dueTokens =
      interval_ == Duration(0)
        ? tokenCount_
        : std::uint64_t((loop_.GetClock().Now() - start_) / interval_) + 1;
    std::string events;
    for (; nextToken_ < std::min(dueTokens, tokenCount_); ++nextToken_) {
      events += MakeEvent("tok ", "null");
    }
    if (nextToken_ == tokenCount_) {
      events += MakeEvent("", "\"length\"") + "data: [DONE]\n\n";
    }
    exchange_->SendChunk(events);
    if (nextToken_ == tokenCount_) {
      exchange_->EndReply();
      return;
    }
    loop_.CallAfter(interval_,
                    [self = shared_from_this()] { self->SendDueTokens(); });
  }
};

} // namespace

struct StreamSource::State
{
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

StreamSource::StreamSource(const Address& aListen,
                           std::uint64_t aTokens,
                           Duration aInterval)
  : state_(std::make_unique<State>())
{
  HttpServerOptions options;
  options.listen_ = aListen;
  EventLoop& loop = state_->loop_;
  state_->server_ = std::make_unique<HttpServer>(
    loop,
    options,
    [&loop, aTokens, aInterval](std::shared_ptr<HttpExchange> aExchange) {
      if (aExchange->Request().path_ == "/load") {
        aExchange->Reply(
          200,
          { { "Content-Type", "application/json" },
            { "Sycamoreward-Accepting", "true" } },
          R"({"running":0,"waiting":0,"kvUsed":0,"kvCapacity":1,)"
          R"("accepting":true,"leaving":false,"ageMs":0})");
        return;
      }
      const json body = json::parse(aExchange->Request().body_, nullptr, false);
      auto stream = std::make_shared<Stream>(loop, aExchange);
      stream->tokenCount_ = aTokens;
      stream->interval_ = aInterval;
      stream->start_ = loop.GetClock().Now();
      if (body.is_object()) {
        stream->attempt_ = body.value("attempt", std::uint64_t(1));
        if (body.contains("resume_tokens")) {
          stream->nextToken_ = body["resume_tokens"].size();
        }
      }
      aExchange->StartReply(200,
                            { { "Content-Type", "text/event-stream" },
                              { "Sycamoreward-Accepting", "true" } });
      stream->SendDueTokens();
    });
  state_->thread_ = std::thread([&loop] { loop.Run(); });
}

StreamSource::~StreamSource()
{
  state_->loop_.Stop();
  state_->thread_.join();
}

const Address&
StreamSource::BoundAddress() const
{
  return state_->server_->BoundAddress();
}

} // namespace sycamoreward::load
