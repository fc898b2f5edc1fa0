#include "operators/WatchList.h"

#include "operators/ApiReply.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxWatches = 256;
constexpr Duration kBookmarkInterval = std::chrono::seconds(5);
// Maximum number of unread bytes of a watch. Beyond it, the connection is
// aborted; the client can resume from the last version it received.
constexpr Bytes::value_type kMaxUnreadBytes = 1024 * 1024;

const char*
EventType(const ConfigChange& aChange)
{
  if (!aChange.resource_.has_value()) {
    return "DELETED";
  }
  return aChange.isNew_ ? "ADDED" : "MODIFIED";
}

// Object of an event without a resource: its kind, name and version.
Json
MetadataDocument(ResourceKind aKind,
                 const std::string& aName,
                 Revision aVersion)
{
  Json metadata{ { "resourceVersion", std::to_string(aVersion.Value()) } };
  if (!aName.empty()) {
    metadata["name"] = aName;
  }
  return { { "kind", ToString(aKind) }, { "metadata", std::move(metadata) } };
}

std::string
FormatEvent(const char* aType, Json aObject)
{
  return Json{ { "type", aType }, { "object", std::move(aObject) } }.dump() +
         "\n";
}

std::string
FormatChange(const ConfigChange& aChange)
{
  return FormatEvent(
    EventType(aChange),
    aChange.resource_.has_value()
      ? ToJson(*aChange.resource_)
      : MetadataDocument(aChange.kind_, aChange.name_, aChange.revision_));
}

} // namespace

WatchList::WatchList(EventLoop& aLoop, ConfigurationTask& aConfiguration)
  : loop_(aLoop)
  , configuration_(aConfiguration)
{
  configuration_.OnChange([this, weak = std::weak_ptr<bool>(alive_)] {
    if (!weak.expired()) {
      SendChanges();
    }
  });
  timer_ = loop_.CallAfter(kBookmarkInterval, [this] { SendBookmarks(); });
}

WatchList::~WatchList()
{
  loop_.CancelTimer(timer_);
}

void
WatchList::Add(const std::shared_ptr<HttpExchange>& aExchange,
               ResourceKind aKind,
               Revision aAfter)
{
  if (watches_.size() >= kMaxWatches) {
    ReplyError(
      aExchange, 429, "too_many_watches", "Too many watches are open.");
    return;
  }
  if (!configuration_.State().ChangesAfter(aAfter).has_value()) {
    ReplyError(aExchange,
               410,
               "too_old",
               "The changes after version " + std::to_string(aAfter.Value()) +
                 " are not kept any more; list again and watch from there.");
    return;
  }
  aExchange->StartReply(200, { { "Content-Type", "application/x-ndjson" } });
  Watch watch{ aExchange, aKind, aAfter };
  if (Send(watch)) {
    watches_.push_back(std::move(watch));
  }
}

bool
WatchList::Send(Watch& aWatch) const
{
  const ConfigState& state = configuration_.State();
  if (aWatch.exchange_->IsCallerGone()) {
    return false;
  }
  const auto changes = state.ChangesAfter(aWatch.sent_);
  const bool isSlow =
    aWatch.exchange_->BufferedBytes().Value() > kMaxUnreadBytes;
  if (!changes.has_value() || isSlow) {
    aWatch.exchange_->Abort();
    return false;
  }
  for (const ConfigChange& change : *changes) {
    if (change.kind_ == aWatch.kind_) {
      aWatch.exchange_->SendChunk(FormatChange(change));
    }
  }
  aWatch.sent_ = std::max(aWatch.sent_, state.CurrentRevision());
  return true;
}

void
WatchList::SendChanges()
{
  watches_.erase(
    std::remove_if(watches_.begin(),
                   watches_.end(),
                   [this](Watch& aWatch) { return !Send(aWatch); }),
    watches_.end());
}

void
WatchList::SendBookmarks()
{
  timer_ = loop_.CallAfter(kBookmarkInterval, [this] { SendBookmarks(); });
  SendChanges();
  for (const Watch& watch : watches_) {
    watch.exchange_->SendChunk(
      FormatEvent("BOOKMARK", MetadataDocument(watch.kind_, "", watch.sent_)));
  }
}

} // namespace sycamoreward
