#include "platformapi/StoreStandIn.h"

#include "Base64.h"
#include "base/BoundedJson.h"
#include "platformapi/Query.h"
#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward::standin {

namespace {

constexpr Duration kWatchTick = std::chrono::milliseconds(10);

nlohmann::json
RowJson(const std::string& aTable,
        const std::string& aKey,
        const std::string& aValue,
        std::uint64_t aVersion,
        bool aIsDeleted)
{
  nlohmann::json json{ { "table", aTable },
                       { "part", "" },
                       { "key", aKey },
                       { "schema-version", aVersion } };
  if (aIsDeleted) {
    json["deleted"] = true;
  } else {
    json["value"] = platform::EncodeBase64(aValue);
  }
  return json;
}

} // namespace

StoreStandIn::StoreStandIn(EventLoop& aLoop)
  : loop_(aLoop)
  , server_(std::make_unique<http::CallerServer>(
      aLoop,
      Address{ "127.0.0.1", 0 },
      [this](const std::shared_ptr<http::CallerExchange>& aExchange) {
        Handle(aExchange);
      }))
{
  CheckWatches();
}

StoreStandIn::~StoreStandIn()
{
  loop_.CancelTimer(timer_);
}

StoreStandIn::Copy
StoreStandIn::MakeCopy() const
{
  return { rows_, version_ };
}

void
StoreStandIn::Restore(const Copy& aCopy)
{
  rows_ = aCopy.rows_;
  version_ = aCopy.version_;
  ++era_;
  watches_.clear();
}

void
StoreStandIn::Answer(http::CallerExchange& aExchange,
                     int aStatus,
                     const std::string& aBody) const
{
  http::ResponseHead head;
  head.status_ = aStatus;
  head.reason_ = "Stand-in";
  head.fields_ = { { "Content-Type", "application/json" },
                   { "Store-Era", std::to_string(era_) } };
  aExchange.Answer(std::move(head), aBody);
}

void
StoreStandIn::Change(const std::string& aTable,
                     const std::string& aKey,
                     const std::string& aValue,
                     bool aIsDeleted)
{
  rows_[{ aTable, aKey }] = { aValue, version_, aIsDeleted };
}

void
StoreStandIn::Put(const std::string& aTable,
                  const std::string& aKey,
                  const std::string& aValue)
{
  ++version_;
  Change(aTable, aKey, aValue, false);
}

void
StoreStandIn::Remove(const std::string& aTable, const std::string& aKey)
{
  ++version_;
  Change(aTable, aKey, "", true);
}

std::string
StoreStandIn::Value(const std::string& aTable, const std::string& aKey) const
{
  const auto found = rows_.find({ aTable, aKey });
  return found == rows_.end() || found->second.isDeleted_
           ? ""
           : found->second.value_;
}

void
StoreStandIn::Handle(const std::shared_ptr<http::CallerExchange>& aExchange)
{
  ++calls_;
  if (faults_.isSilent_) {
    return;
  }
  if (faults_.isReset_) {
    aExchange->Abort();
    return;
  }
  if (faults_.isBusy_) {
    Answer(*aExchange, 503, "{}");
    return;
  }
  const std::string path = PathOf(aExchange->head_.target_);
  if (path == "/sycamoreward/rows-get") {
    Read(*aExchange);
  } else if (path == "/sycamoreward/rows-tx") {
    Write(*aExchange);
  } else if (path == "/sycamoreward/rows-feed") {
    Feed(aExchange);
  } else {
    Answer(*aExchange, 404, "{}");
  }
}

void
StoreStandIn::Read(http::CallerExchange& aExchange)
{
  const auto query = QueryOf(aExchange.head_.target_);
  const auto table = query.find("table");
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, row] : rows_) {
    if (table != query.end() && key.first == table->second && !row.isDeleted_) {
      rows.push_back(
        RowJson(key.first, key.second, row.value_, row.version_, false));
    }
  }
  Answer(aExchange,
         200,
         nlohmann::json{ { "rows", rows },
                         { "has-more", false },
                         { "schema-version", version_ } }
           .dump());
}

void
StoreStandIn::Write(http::CallerExchange& aExchange)
{
  const auto json = ParseBoundedJson(aExchange.body_);
  bool isAllowed = true;
  nlohmann::json current = nlohmann::json::array();
  for (const auto& condition : json.at("expected-revision")) {
    const Key key{ condition.at("table").get<std::string>(),
                   condition.at("key").get<std::string>() };
    const auto found = rows_.find(key);
    const bool exists = found != rows_.end() && !found->second.isDeleted_;
    const std::uint64_t version = exists ? found->second.version_ : 0;
    isAllowed = isAllowed &&
                version == condition.at("schema-version").get<std::uint64_t>();
    if (exists) {
      current.push_back(
        RowJson(key.first, key.second, found->second.value_, version, false));
    }
  }
  if (!isAllowed) {
    Answer(aExchange,
           412,
           nlohmann::json{ { "rows", current }, { "schema-version", version_ } }
             .dump());
    return;
  }
  ++version_;
  for (const auto& row : json.at("write")) {
    Change(row.at("table").get<std::string>(),
           row.at("key").get<std::string>(),
           platform::DecodeBase64(row.at("value").get<std::string>()),
           false);
  }
  for (const auto& row : json.at("remove")) {
    Change(row.at("table").get<std::string>(),
           row.at("key").get<std::string>(),
           "",
           true);
  }
  if (faults_.lostWrites_ > 0) {
    --faults_.lostWrites_;
    return;
  }
  Answer(
    aExchange, 200, nlohmann::json{ { "schema-version", version_ } }.dump());
}

void
StoreStandIn::Feed(const std::shared_ptr<http::CallerExchange>& aExchange)
{
  const auto query = QueryOf(aExchange->head_.target_);
  Watch watch;
  watch.exchange_ = aExchange;
  watch.table_ = query.at("table");
  watch.after_ = std::stoull(query.at("since-revision"));
  watch.end_ = loop_.GetClock().Now() +
               std::chrono::milliseconds(std::stoll(query.at("wait-ms")));
  if (watch.after_ < firstChange_ || watch.after_ > version_) {
    Answer(*aExchange, 410, "{}");
    return;
  }
  if (!AnswerWatch(watch, false)) {
    watches_.push_back(std::move(watch));
  }
}

bool
StoreStandIn::AnswerWatch(const Watch& aWatch, bool aIsEnd) const
{
  std::vector<std::pair<std::uint64_t, nlohmann::json>> changes;
  for (const auto& [key, row] : rows_) {
    if (key.first == aWatch.table_ && row.version_ > aWatch.after_) {
      changes.emplace_back(
        row.version_,
        RowJson(
          key.first, key.second, row.value_, row.version_, row.isDeleted_));
    }
  }
  if (changes.empty() && !aIsEnd) {
    return false;
  }
  std::sort(
    changes.begin(), changes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  nlohmann::json rows = nlohmann::json::array();
  for (auto& change : changes) {
    rows.push_back(std::move(change.second));
  }
  Answer(
    *aWatch.exchange_,
    200,
    nlohmann::json{ { "rows", rows }, { "schema-version", version_ } }.dump());
  return true;
}

void
StoreStandIn::CheckWatches()
{
  timer_ = loop_.CallAfter(kWatchTick, [this] { CheckWatches(); });
  if (faults_.isSilent_) {
    return;
  }
  const MonotonicTime now = loop_.GetClock().Now();
  std::vector<Watch> waiting;
  waiting.swap(watches_);
  for (Watch& watch : waiting) {
    if (!AnswerWatch(watch, now >= watch.end_)) {
      watches_.push_back(std::move(watch));
    }
  }
}

} // namespace sycamoreward::standin
