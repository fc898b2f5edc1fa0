#include "service/ServiceStandIn.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

namespace sycamoreward::standin {

using nlohmann::json;

namespace {

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

const std::string kLookupPrefix = "/lookup/";
const std::string kStatusPrefix = "/status/";

} // namespace

ServiceStandIn::ServiceStandIn(EventLoop& aLoop,
                               ServiceOptions aOptions,
                               Address aListen,
                               std::shared_ptr<RecordStore> aRecordStore)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , recordStore_(aRecordStore ? std::move(aRecordStore)
                              : std::make_shared<RecordStore>())
{
  HttpServerOptions serverOptions;
  serverOptions.listen_ = std::move(aListen);
  server_ = std::make_unique<HttpServer>(
    loop_, serverOptions, [this](ExchangePtr aExchange) { Handle(aExchange); });
  address_ = server_->BoundAddress();
}

ServiceStandIn::~ServiceStandIn()
{
  *alive_ = false;
}

void
ServiceStandIn::SetFaults(const json& aFaults)
{
  const bool wasSuspended = faults_.isSuspended_;
  faults_.delay_ = std::chrono::milliseconds(
    aFaults.value("delayMs", std::int64_t(faults_.delay_.count()) / 1000));
  faults_.cutsBeforeReply_ =
    aFaults.value("cutBeforeReply", faults_.cutsBeforeReply_);
  faults_.isRefusing_ = aFaults.value("refuse", faults_.isRefusing_);
  faults_.isSuspended_ = aFaults.value("freeze", faults_.isSuspended_);
  faults_.isLeaving_ = aFaults.value("leaving", faults_.isLeaving_);
  if (aFaults.value("down", false) && !faults_.isDown_) {
    ++generation_;
    running_ = 0;
    recordStore_->inProgress_.clear();
    suspendedExchanges_.clear();
  }
  faults_.isDown_ = aFaults.value("down", faults_.isDown_);
  faults_.hasNoStatus_ = aFaults.value("noStatus", faults_.hasNoStatus_);
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
      // Calls that the caller closed before they started are dropped.
      if (!exchange->IsCallerGone()) {
        Dispatch(exchange);
      }
    }
  }
}

void
ServiceStandIn::Crash()
{
  suspendedExchanges_.clear();
  server_.reset();
}

void
ServiceStandIn::Handle(const ExchangePtr& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  if (request.path_ == "/faults") {
    const json body = json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
      throw UserError("faults", "", "The body is not a JSON object.");
    }
    SetFaults(body);
    ReplyText(aExchange, 200, "{}");
  } else if (request.path_ == "/counters") {
    HandleCounters(aExchange);
  } else if (faults_.isDown_) {
    aExchange->Abort();
  } else if (faults_.isSuspended_) {
    suspendedExchanges_.push_back(aExchange);
  } else {
    Dispatch(aExchange);
  }
}

void
ServiceStandIn::Dispatch(const ExchangePtr& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  const bool isRecord =
    request.path_ == "/records" && request.method_ == HttpMethod::Post;
  if (isRecord || HasPrefix(request.path_, kLookupPrefix)) {
    AcceptWork(aExchange);
  } else if (HasPrefix(request.path_, kStatusPrefix)) {
    HandleStatus(aExchange);
  } else if (request.path_ == "/load") {
    HandleLoad(aExchange);
  } else {
    ReplyText(aExchange, 404, R"({"error":{"code":"not_found"}})");
  }
}

bool
ServiceStandIn::IsAccepting() const
{
  return !faults_.isLeaving_ && !faults_.isRefusing_;
}

void
ServiceStandIn::AcceptWork(const ExchangePtr& aExchange)
{
  if (!IsAccepting()) {
    Refuse(aExchange, faults_.isLeaving_ ? "leaving" : "refused");
    return;
  }
  if (running_ >= options_.slots_) {
    Refuse(aExchange, "full");
    return;
  }
  const std::string id =
    FindHeader(aExchange->Request().headers_, "X-Request-Id");
  if (deniedRequests_.count(id) != 0) {
    Refuse(aExchange, "denied");
    return;
  }
  counters_.lastAccepted_ = loop_.GetClock().Wall();
  ++running_;
  ++recordStore_->inProgress_[id];
  loop_.CallAfter(
    options_.workTime_ + faults_.delay_,
    [this, aExchange, id, generation = generation_, alive = alive_] {
      if (*alive && generation != generation_) {
        aExchange->Abort();
      } else if (*alive) {
        --running_;
        RunWork(aExchange);
        FinishWork(id);
      }
    });
}

void
ServiceStandIn::RunWork(const ExchangePtr& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  std::string reply;
  if (request.path_ == "/records") {
    reply =
      IssueRecord(FindHeader(request.headers_, "X-Request-Id"), request.body_);
  } else {
    ++counters_.lookups_;
    const std::string name = request.path_.substr(kLookupPrefix.size());
    reply = json{ { "name", name }, { "value", "value of " + name } }.dump();
  }
  if (faults_.cutsBeforeReply_) {
    aExchange->Abort();
    return;
  }
  ReplyText(aExchange, 200, reply);
}

void
ServiceStandIn::FinishWork(const std::string& aRequestId)
{
  const auto found = recordStore_->inProgress_.find(aRequestId);
  if (--found->second == 0) {
    recordStore_->inProgress_.erase(found);
  }
}

std::string
ServiceStandIn::IssueRecord(const std::string& aRequestId,
                            const std::string& aBody)
{
  ++counters_.records_;
  std::string reply = json{
    { "number", recordStore_->nextNumber_++ },
    { "request", aRequestId },
    { "body", aBody }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
  RecordStore::Entry& entry = recordStore_->entries_[aRequestId];
  if (entry.runs_++ == 0) {
    entry.reply_ = reply;
  }
  return reply;
}

void
ServiceStandIn::HandleStatus(const ExchangePtr& aExchange)
{
  if (faults_.hasNoStatus_) {
    ReplyText(aExchange, 404, R"({"error":{"code":"not_found"}})");
    return;
  }
  const std::string id =
    aExchange->Request().path_.substr(kStatusPrefix.size());
  const auto found = recordStore_->entries_.find(id);
  json body = json::object();
  if (found != recordStore_->entries_.end()) {
    body = { { "ran", true }, { "reply", found->second.reply_ } };
  } else if (recordStore_->inProgress_.count(id) != 0) {
    // The request is in progress, so its outcome is not known yet.
    body["running"] = true;
  } else {
    body["ran"] = false;
    deniedRequests_.insert(id);
  }
  ReplyText(aExchange, 200, body.dump());
}

void
ServiceStandIn::HandleLoad(const ExchangePtr& aExchange)
{
  ReplyText(aExchange,
            200,
            json{ { "running", running_ },
                  { "waiting", 0 },
                  { "kvUsed", 0 },
                  { "kvCapacity", 0 },
                  { "accepting", IsAccepting() },
                  { "leaving", faults_.isLeaving_ },
                  { "ageMs", 0 } }
              .dump());
}

void
ServiceStandIn::HandleCounters(const ExchangePtr& aExchange)
{
  json runs = json::object();
  for (const auto& [id, entry] : recordStore_->entries_) {
    runs[id] = entry.runs_;
  }
  ReplyText(aExchange,
            200,
            json{ { "runs", runs },
                  { "records", counters_.records_ },
                  { "lookups", counters_.lookups_ },
                  { "refused", counters_.refused_ },
                  { "lastAcceptedUs",
                    counters_.lastAccepted_.time_since_epoch().count() } }
              .dump());
}

void
ServiceStandIn::Refuse(const ExchangePtr& aExchange, const char* aCode)
{
  ++counters_.refused_;
  const json body{ { "error", { { "code", aCode }, { "ran", "not_run" } } } };
  aExchange->Reply(
    503,
    { { "Content-Type", "application/json" },
      { "Sycamoreward-Accepting", IsAccepting() ? "true" : "false" },
      { "Sycamoreward-Ran", "not_run" },
      { "Retry-After", "1" } },
    body.dump());
}

void
ServiceStandIn::ReplyText(const ExchangePtr& aExchange,
                          int aStatus,
                          const std::string& aBody)
{
  aExchange->Reply(
    aStatus,
    { { "Content-Type", "application/json" },
      { "Sycamoreward-Accepting", IsAccepting() ? "true" : "false" } },
    aBody);
}

} // namespace sycamoreward::standin
