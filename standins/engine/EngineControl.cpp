// Handlers of the engine stand-in for everything except completions: load,
// cache events, KV transfer and orders.

#include "base/Error.h"
#include "engine/EngineStandIn.h"
#include "engine/Generate.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward::standin {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds kLoadHistoryDuration{ 30 };
constexpr std::size_t kMaxLoadSnapshots = 20000;

json
ReadObject(const HttpServerRequest& aRequest)
{
  json body = json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object()) {
    throw UserError("read", "", "The request body is not a JSON object.");
  }
  return body;
}

std::shared_ptr<Run>
FindRunning(const Batch& aBatch, const std::string& aId)
{
  const auto found =
    std::find_if(aBatch.running_.begin(),
                 aBatch.running_.end(),
                 [&](const auto& aRun) { return aRun->id_ == aId; });
  return found == aBatch.running_.end() ? nullptr : *found;
}

} // namespace

EngineStandIn::LoadSnapshot
EngineStandIn::CurrentLoad() const
{
  const auto active = [](const auto& aRun) { return !aRun->isCancelled_; };
  return { loop_.GetClock().Now(),
           std::size_t(std::count_if(
             batch_.running_.begin(), batch_.running_.end(), active)),
           std::size_t(std::count_if(
             batch_.waiting_.begin(), batch_.waiting_.end(), active)),
           CountKvTokens(batch_) };
}

void
EngineStandIn::RecordLoad()
{
  const LoadSnapshot load = CurrentLoad();
  loadHistory_.push_back(load);
  while (loadHistory_.size() > kMaxLoadSnapshots ||
         load.time_ - loadHistory_.front().time_ > kLoadHistoryDuration) {
    loadHistory_.pop_front();
  }
}

// With a load lag, reports the newest snapshot that is at least that old.
// Whether the engine accepts work is always reported without lag.
void
EngineStandIn::HandleLoad(const ExchangePtr& aExchange)
{
  LoadSnapshot load = CurrentLoad();
  if (faults_.loadLag_ > Duration(0)) {
    const MonotonicTime until = load.time_ - faults_.loadLag_;
    load = LoadSnapshot{};
    for (const LoadSnapshot& past : loadHistory_) {
      if (past.time_ <= until) {
        load = past;
      }
    }
  }
  const json body{
    { "running", load.running_ },
    { "waiting", load.waiting_ },
    { "kvUsed", load.kvUsed_ },
    { "kvCapacity", options_.cacheTokens_ },
    { "accepting", IsAccepting() },
    { "leaving", faults_.isLeaving_ },
    { "ageMs", faults_.loadLag_.count() / 1000 },
  };
  ReplyJson(aExchange, 200, body);
}

void
EngineStandIn::HandleCacheEvents(const ExchangePtr& aExchange)
{
  const auto& query = aExchange->Request().query_;
  const auto since = query.find("since");
  const std::uint64_t after =
    since == query.end() ? 0
                         : std::strtoull(since->second.c_str(), nullptr, 10);
  const MonotonicTime visible =
    loop_.GetClock().Now() - options_.cacheEventLag_;
  json events = json::array();
  std::uint64_t last = after;
  for (const CacheEvent& event : cache_.events_) {
    if (event.number_ <= after || event.time_ > visible) {
      continue;
    }
    events.push_back({ { "number", event.number_ },
                       { "type", event.isStored_ ? "stored" : "removed" },
                       { "block", event.block_ },
                       { "tokens", kBlockTokens } });
    last = event.number_;
  }
  ReplyJson(aExchange, 200, { { "events", events }, { "last", last } });
}

void
EngineStandIn::ReplyAfterTransfer(const ExchangePtr& aExchange,
                                  std::uint64_t aBytes,
                                  const json& aBody)
{
  const Duration time(
    std::int64_t(double(aBytes) * 1e6 / double(options_.kvBytesPerSecond_)));
  loop_.CallAfter(time, [this, aExchange, aBody, alive = alive_] {
    if (*alive) {
      ReplyJson(aExchange, 200, aBody);
    }
  });
}

// Exports the KV of a running request, or of the cached prefix of a prompt. The
// reply describes the data and gives its size in bytes, but does not contain
// it.
void
EngineStandIn::HandleExport(const ExchangePtr& aExchange)
{
  const json body = ReadObject(aExchange->Request());
  json kv;
  std::uint64_t tokens = 0;
  if (body.contains("request_id")) {
    const auto run = FindRunning(batch_, body["request_id"].get<std::string>());
    if (run == nullptr) {
      ReplyJson(aExchange, 404, { { "error", { { "code", "not_running" } } } });
      return;
    }
    tokens = CountTokens(run->prompt_) + run->nextToken_;
    kv = { { "request_id", run->id_ },
           { "blocks", BlockHashes(run->prompt_) } };
  } else {
    auto hashes = BlockHashes(body.value("prompt", std::string()));
    hashes.resize(MatchBlocks(cache_, hashes));
    tokens = hashes.size() * kBlockTokens;
    kv = { { "blocks", hashes } };
  }
  kv["tokens"] = tokens;
  kv["bytes"] = tokens * options_.kvBytesPerToken_;
  ReplyAfterTransfer(aExchange, tokens * options_.kvBytesPerToken_, kv);
}

void
EngineStandIn::HandleImport(const ExchangePtr& aExchange)
{
  const json body = ReadObject(aExchange->Request());
  StoreBlocks(cache_,
              body.value("blocks", std::vector<std::uint64_t>()),
              loop_.GetClock().Now());
  const std::uint64_t tokens = body.value("tokens", std::uint64_t(0));
  if (body.contains("request_id")) {
    batch_.importedTokens_[body["request_id"].get<std::string>()] = tokens;
  }
  const std::uint64_t bytes = body.value("bytes", std::uint64_t(0));
  ReplyAfterTransfer(
    aExchange, bytes, { { "imported", tokens }, { "bytes", bytes } });
}

void
EngineStandIn::HandleOrder(const ExchangePtr& aExchange)
{
  if (aExchange->Request().method_ == HttpMethod::Get) {
    ReplyJson(aExchange,
              200,
              { { "fencing", orders_.fencing_ },
                { "model", options_.model_ },
                { "version", orders_.version_ },
                { "role", orders_.role_ },
                { "adapters", orders_.adapters_ } });
    return;
  }
  const json body = ReadObject(aExchange->Request());
  const std::uint64_t fencing = body.value("fencing", std::uint64_t(0));
  if (fencing < orders_.fencing_) {
    if (options_.checksFencing_) {
      ++counters_.staleOrdersRefused_;
      ReplyJson(aExchange,
                409,
                { { "error", { { "code", "stale_fencing" } } },
                  { "fencing", orders_.fencing_ } });
      return;
    }
    ++counters_.staleOrdersApplied_;
  }
  const std::string action = body.value("action", std::string());
  if (action == "load_model") {
    options_.model_ = body.value("model", options_.model_);
    orders_.version_ = body.value("version", std::string());
  } else if (action == "load_adapter") {
    orders_.adapters_.insert(body.value("adapter", std::string()));
  } else if (action == "change_role") {
    orders_.role_ = body.value("role", orders_.role_);
  } else {
    throw UserError("order", "", "The action \"" + action + "\" is not known.");
  }
  orders_.fencing_ = std::max(orders_.fencing_, fencing);
  ReplyJson(aExchange, 200, { { "applied", true } });
}

} // namespace sycamoreward::standin
