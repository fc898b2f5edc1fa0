#include "platform/PlatformStandIn.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::platform {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kWeightChunk = 64 * 1024;

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

HttpServerOptions
ServerOptions(const Address& aListen)
{
  HttpServerOptions options;
  options.listen_ = aListen;
  return options;
}

void
ReplyJson(const std::shared_ptr<HttpExchange>& aExchange,
          int aStatus,
          const Json& aBody)
{
  aExchange->Reply(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump());
}

Json
DefaultPrices()
{
  return Json::array(
    { { { "class", "accelerator" },
        { "reclaimable", 1.0 },
        { "onDemand", 3.0 } },
      { { "class", "entry" }, { "reclaimable", 0.1 }, { "onDemand", 0.25 } } });
}

} // namespace

PlatformStandIn::PlatformStandIn(EventLoop& aLoop,
                                 PlatformOptions aOptions,
                                 const Address& aListen)
  : loop_(aLoop)
  , options_(aOptions)
  , prices_(DefaultPrices())
  , server_(aLoop, ServerOptions(aListen), [this](Exchange aExchange) {
    Serve(aExchange);
  })
{
}

PlatformStandIn::~PlatformStandIn()
{
  *isAlive_ = false;
}

void
PlatformStandIn::Serve(const Exchange& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  const std::string& path = request.path_;
  if (path == "/" || StartsWith(path, "/objects/")) {
    ServeStore(aExchange);
  } else if (path == "/v1/prices") {
    ServePrices(aExchange);
  } else if (path == "/v1/instances" && request.method_ == HttpMethod::Post) {
    ServeStart(aExchange);
  } else if (StartsWith(path, "/instances/") ||
             (StartsWith(path, "/v1/instances/") &&
              request.method_ == HttpMethod::Post)) {
    ServeNotice(aExchange);
  } else if (StartsWith(path, "/v1/instances")) {
    ServeInstances(aExchange);
  } else if (StartsWith(path, "/weights/")) {
    ServeWeights(aExchange);
  } else if (path == "/faults") {
    SetFaults(aExchange);
  } else if (path == "/counters") {
    ReplyCounters(aExchange);
  } else {
    ReplyJson(
      aExchange, 404, { { "error", "There is no path " + path + "." } });
  }
}

void
PlatformStandIn::ServeStore(const Exchange& aExchange)
{
  if (faults_.isStoreDown_) {
    aExchange->Abort();
    return;
  }
  const auto serve = [this, aExchange] {
    if (aExchange->Request().path_ == "/") {
      ServeTable(aExchange);
    } else {
      ServeObjects(aExchange);
    }
  };
  if (faults_.storeDelay_ == Duration(0)) {
    serve();
    return;
  }
  loop_.CallAfter(faults_.storeDelay_, [serve, isAlive = isAlive_] {
    if (*isAlive) {
      serve();
    }
  });
}

bool
PlatformStandIn::AllowWrite()
{
  const MonotonicTime now = loop_.GetClock().Now();
  if (now - writeWindow_ >= std::chrono::seconds(1)) {
    writeWindow_ = now;
    writesInWindow_ = 0;
  }
  return faults_.writesPerSecond_ == 0 ||
         ++writesInWindow_ <= faults_.writesPerSecond_;
}

void
PlatformStandIn::ServeTable(const Exchange& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  const std::string target = FindHeader(request.headers_, "X-Amz-Target");
  TableReply reply;
  bool loseReply = false;
  try {
    const Json body = Json::parse(request.body_);
    if (target == "DynamoDB_20120810.TransactWriteItems") {
      if (AllowWrite()) {
        ++counters_.tableWrites_;
        reply = table_.TransactWriteItems(body);
        loseReply = faults_.loseWriteReplies_ > 0;
        faults_.loseWriteReplies_ -= loseReply ? 1 : 0;
      } else {
        ++counters_.throttled_;
        reply = TableError("ProvisionedThroughputExceededException",
                           "There are too many writes in this second.");
      }
    } else if (target == "DynamoDB_20120810.GetItem") {
      ++counters_.tableReads_;
      reply = table_.GetItem(body);
    } else if (target == "DynamoDB_20120810.Query") {
      ++counters_.tableReads_;
      reply = table_.Query(body);
    } else {
      reply = TableError("UnknownOperationException",
                         "The operation \"" + target + "\" is unknown.");
    }
  } catch (const std::exception& error) {
    reply = TableError("ValidationException", error.what());
  }
  if (loseReply) {
    aExchange->Abort();
    return;
  }
  aExchange->Reply(reply.status_,
                   { { "Content-Type", "application/x-amz-json-1.0" } },
                   reply.body_.dump());
}

void
PlatformStandIn::SetFaults(const Exchange& aExchange)
{
  const Json body = Json::parse(aExchange->Request().body_);
  faults_.isStoreDown_ = body.value("storeDown", faults_.isStoreDown_);
  if (body.contains("storeDelayMs")) {
    faults_.storeDelay_ =
      std::chrono::milliseconds(body.at("storeDelayMs").get<unsigned>());
  }
  faults_.loseWriteReplies_ =
    body.value("loseWriteReplies", faults_.loseWriteReplies_);
  faults_.refuseStarts_ = body.value("refuseStarts", faults_.refuseStarts_);
  if (body.contains("listLagMs")) {
    options_.listLag_ =
      std::chrono::milliseconds(body.at("listLagMs").get<unsigned>());
  }
  faults_.writesPerSecond_ =
    body.value("writesPerSecond", faults_.writesPerSecond_);
  ReplyJson(aExchange, 200, Json::object());
}

void
PlatformStandIn::ReplyCounters(const Exchange& aExchange)
{
  ReplyJson(aExchange,
            200,
            { { "tableWrites", counters_.tableWrites_ },
              { "tableReads", counters_.tableReads_ },
              { "throttled", counters_.throttled_ } });
}

void
PlatformStandIn::ServePrices(const Exchange& aExchange)
{
  if (aExchange->Request().method_ == HttpMethod::Put) {
    prices_ = Json::parse(aExchange->Request().body_);
  }
  ReplyJson(aExchange, 200, { { "prices", prices_ } });
}

void
PlatformStandIn::ServeWeights(const Exchange& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  if (request.method_ == HttpMethod::Put) {
    weights_[request.path_] =
      Json::parse(request.body_).at("bytes").get<std::uint64_t>();
    ReplyJson(aExchange, 200, Json::object());
    return;
  }
  const auto found = weights_.find(request.path_);
  if (found == weights_.end()) {
    ReplyJson(aExchange, 404, { { "error", "There are no such weights." } });
    return;
  }
  aExchange->StartReply(200,
                        { { "Content-Type", "application/octet-stream" } });
  SendWeights(aExchange, found->second);
}

void
PlatformStandIn::SendWeights(const Exchange& aExchange,
                             std::uint64_t aRemainingBytes)
{
  if (aRemainingBytes == 0 || aExchange->IsCallerGone()) {
    aExchange->EndReply();
    return;
  }
  const std::uint64_t size = std::min(aRemainingBytes, kWeightChunk);
  const MonotonicTime now = loop_.GetClock().Now();
  weightsAvailableAt_ =
    std::max(now, weightsAvailableAt_) +
    Duration(size * 1000000 / options_.weightBytesPerSecond_);
  loop_.CallAfter(weightsAvailableAt_ - now,
                  [this, isAlive = isAlive_, aExchange, aRemainingBytes, size] {
                    if (*isAlive) {
                      aExchange->SendChunk(std::string(size, '\0'));
                      SendWeights(aExchange, aRemainingBytes - size);
                    }
                  });
}

} // namespace sycamoreward::platform
