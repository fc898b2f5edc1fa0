#include "engine/EngineStandIn.h"

#include "base/Error.h"
#include "engine/Generate.h"
#include "engine/Replies.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward::standin {

using nlohmann::json;

EngineStandIn::EngineStandIn(EventLoop& aLoop,
                             EngineOptions aOptions,
                             Address aListen)
  : loop_(aLoop)
  , options_(std::move(aOptions))
{
  cache_.capacityBlocks_ =
    std::max<std::uint64_t>(1, options_.cacheTokens_ / kBlockTokens);
  HttpServerOptions serverOptions;
  serverOptions.listen_ = std::move(aListen);
  server_ = std::make_unique<HttpServer>(
    loop_, serverOptions, [this](ExchangePtr aExchange) { Handle(aExchange); });
  address_ = server_->BoundAddress();
}

EngineStandIn::~EngineStandIn()
{
  *alive_ = false;
  loop_.CancelTimer(stepTimer_);
}

void
EngineStandIn::SetFaults(const json& aFaults)
{
  const bool wasSuspended = faults_.isSuspended_;
  faults_.slowdown_ = aFaults.value("slowdown", faults_.slowdown_);
  faults_.isSuspended_ = aFaults.value("freeze", faults_.isSuspended_);
  faults_.isRefusing_ = aFaults.value("refuse", faults_.isRefusing_);
  faults_.isLeaving_ = aFaults.value("leaving", faults_.isLeaving_);
  faults_.cutAfterTokens_ =
    aFaults.value("cutAfterTokens", faults_.cutAfterTokens_);
  faults_.loadLag_ = std::chrono::milliseconds(
    aFaults.value("loadLagMs", std::int64_t(faults_.loadLag_.count()) / 1000));
  cache_.eventLossRate_ =
    aFaults.value("cacheEventLossRate", cache_.eventLossRate_);
  if (aFaults.contains("stallMs")) {
    stalledUntil_ =
      loop_.GetClock().Now() +
      std::chrono::milliseconds(aFaults["stallMs"].get<std::int64_t>());
  }
  if (aFaults.value("die", false)) {
    // The server must not be destroyed inside its own handler.
    loop_.Post([this, alive = alive_] {
      if (*alive) {
        Crash();
      }
    });
  }
  if (wasSuspended && !faults_.isSuspended_) {
    const auto pendingExchanges = std::move(suspendedExchanges_);
    suspendedExchanges_.clear();
    for (const auto& exchange : pendingExchanges) {
      Dispatch(exchange);
    }
    StartStep();
  }
}

void
EngineStandIn::Crash()
{
  loop_.CancelTimer(stepTimer_);
  isStepping_ = false;
  suspendedExchanges_.clear();
  batch_ = Batch{};
  server_.reset();
}

void
EngineStandIn::Handle(const ExchangePtr& aExchange)
{
  const std::string& path = aExchange->Request().path_;
  if (path == "/faults") {
    const json body = json::parse(aExchange->Request().body_, nullptr, false);
    if (!body.is_object()) {
      throw UserError("faults", "", "The body is not a JSON object.");
    }
    SetFaults(body);
    ReplyJson(aExchange, 200, json::object());
    return;
  }
  if (path == "/counters") {
    ReplyJson(aExchange, 200, ToJson(counters_));
    return;
  }
  if (faults_.isSuspended_) {
    suspendedExchanges_.push_back(aExchange);
    return;
  }
  Dispatch(aExchange);
}

void
EngineStandIn::Dispatch(const ExchangePtr& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  try {
    if (request.path_ == "/v1/completions" ||
        request.path_ == "/v1/chat/completions") {
      HandleCompletion(aExchange);
    } else if (request.path_ == "/load") {
      HandleLoad(aExchange);
    } else if (request.path_ == "/cache/events") {
      HandleCacheEvents(aExchange);
    } else if (request.path_ == "/kv/export") {
      HandleExport(aExchange);
    } else if (request.path_ == "/kv/import") {
      HandleImport(aExchange);
    } else if (request.path_ == "/orders") {
      HandleOrder(aExchange);
    } else {
      ReplyJson(aExchange, 404, { { "error", { { "code", "not_found" } } } });
    }
  } catch (const json::exception& error) {
    ReplyJson(
      aExchange,
      400,
      { { "error",
          { { "code", "invalid_request" }, { "message", error.what() } } } });
  } catch (const UserError& error) {
    ReplyJson(
      aExchange,
      400,
      { { "error",
          { { "code", "invalid_request" }, { "message", error.what() } } } });
  }
}

bool
EngineStandIn::IsAccepting() const
{
  return !faults_.isLeaving_ && !faults_.isRefusing_;
}

HttpHeaders
EngineStandIn::ReplyHeaders(const char* aContentType) const
{
  return { { "Content-Type", aContentType },
           { "Sycamoreward-Accepting", IsAccepting() ? "true" : "false" } };
}

void
EngineStandIn::ReplyJson(const ExchangePtr& aExchange,
                         int aStatus,
                         const json& aBody)
{
  aExchange->Reply(aStatus, ReplyHeaders("application/json"), aBody.dump());
}

void
EngineStandIn::Refuse(const ExchangePtr& aExchange,
                      int aStatus,
                      const char* aCode)
{
  ++counters_.refused_;
  HttpHeaders headers = ReplyHeaders("application/json");
  headers.emplace_back("Sycamoreward-Ran", "not_run");
  headers.emplace_back("Retry-After", "1");
  const json body{ { "error", { { "code", aCode }, { "ran", "not_run" } } } };
  aExchange->Reply(aStatus, headers, body.dump());
}

void
EngineStandIn::HandleCompletion(const ExchangePtr& aExchange)
{
  if (!IsAccepting()) {
    Refuse(aExchange, 503, faults_.isLeaving_ ? "leaving" : "refused");
    return;
  }
  if (batch_.running_.size() + batch_.waiting_.size() >=
      options_.slots_ + options_.maxWaiting_) {
    Refuse(aExchange, 503, "full");
    return;
  }
  const std::shared_ptr<Run> run = ReadRun(aExchange->Request());
  if (!options_.model_.empty() && run->model_ != options_.model_) {
    Refuse(aExchange, 409, "wrong_version");
    return;
  }
  run->arrivalOrder_ = nextArrivalOrder_++;
  if (run->id_.empty()) {
    run->id_ = options_.id_ + "-" + std::to_string(run->arrivalOrder_);
  }
  run->exchange_ = aExchange;
  aExchange->OnCallerGone([weak = std::weak_ptr<Run>(run)] {
    if (const auto gone = weak.lock()) {
      gone->isCancelled_ = true;
    }
  });
  counters_.requests_[run->id_].attempts_.push_back(run->attempt_);
  counters_.lastAccepted_ = loop_.GetClock().Wall();
  batch_.waiting_.push_back(run);
  RecordLoad();
  StartStep();
}

void
EngineStandIn::StartStep()
{
  if (isStepping_ || (batch_.running_.empty() && batch_.waiting_.empty())) {
    return;
  }
  isStepping_ = true;
  const MonotonicTime now = loop_.GetClock().Now();
  const std::uint64_t prefill =
    AdmitWaiting(batch_, cache_, options_, counters_, now);
  Duration step = StepDuration(batch_, prefill, options_, faults_.slowdown_);
  if (stalledUntil_ > now) {
    step += stalledUntil_ - now;
  }
  RecordLoad();
  stepTimer_ = loop_.CallAfter(step, [this] { FinishStep(); });
}

void
EngineStandIn::FinishStep()
{
  isStepping_ = false;
  if (faults_.isSuspended_) {
    return;
  }
  const auto running = batch_.running_;
  for (const auto& run : running) {
    if (run->isCancelled_ || EmitToken(*run)) {
      continue;
    }
    batch_.running_.erase(
      std::find(batch_.running_.begin(), batch_.running_.end(), run));
  }
  RecordLoad();
  StartStep();
}

bool
EngineStandIn::EmitToken(Run& aRun)
{
  if (aRun.isStream_ && aRun.nextToken_ == aRun.resumedTokens_) {
    aRun.exchange_->StartReply(200, ReplyHeaders("text/event-stream"));
  }
  if (aRun.nextToken_ < aRun.endToken_) {
    const std::string token = TokenAt(aRun.prompt_, aRun.nextToken_);
    aRun.text_ += token;
    ++counters_.tokensComputed_;
    ++counters_.requests_[aRun.id_].tokens_;
    if (aRun.isStream_) {
      aRun.exchange_->SendChunk(TokenEvent(aRun, token, aRun.nextToken_));
    }
    ++aRun.nextToken_;
  }
  if (faults_.cutAfterTokens_ != 0 &&
      aRun.nextToken_ - aRun.resumedTokens_ >= faults_.cutAfterTokens_) {
    aRun.exchange_->Abort();
    return false;
  }
  if (aRun.nextToken_ < aRun.endToken_) {
    return true;
  }
  Complete(aRun);
  return false;
}

void
EngineStandIn::Complete(Run& aRun)
{
  ++counters_.requests_[aRun.id_].completed_;
  if (aRun.isStream_) {
    aRun.exchange_->SendChunk(FinalEvents(aRun));
    aRun.exchange_->EndReply();
  } else {
    aRun.exchange_->Reply(
      200, ReplyHeaders("application/json"), CompleteReply(aRun));
  }
}

} // namespace sycamoreward::standin
