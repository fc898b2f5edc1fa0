#include "edge/TableWatch.h"

#include "base/DurationUnits.h"
#include "runtime/EventLoop.h"

#include <algorithm>
#include <utility>

namespace sycamoreward::edge {

namespace {

// Backoff between calls that fail. A failed store is asked for changes without
// a wait, so its return is noticed within the timeout of such a call plus the
// backoff. The sum stays under the time that instances have to apply changes.
constexpr Duration kMinBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
// Maximum number of deleted rows that are kept for other instances.
constexpr std::size_t kMaxDeletedRows = 512;

// Gives each change of a reply that names no version the one of the next change
// that does, or else that of the reply. The table doesn't change between them,
// as a reply has all changes in order.
void
FillVersions(std::vector<StoreRow>& aRows, std::uint64_t aReplyVersion)
{
  std::uint64_t next = aReplyVersion;
  for (auto row = aRows.rbegin(); row != aRows.rend(); ++row) {
    if (row->version_ == 0) {
      row->version_ = next;
    }
    next = row->version_;
  }
}

} // namespace

TableWatch::TableWatch(EventLoop& aLoop,
                       RowStore& aStore,
                       DecisionLog& aLog,
                       TableWatchOptions aOptions,
                       Callbacks aCallbacks)
  : loop_(aLoop)
  , store_(aStore)
  , log_(aLog)
  , options_(std::move(aOptions))
  , callbacks_(std::move(aCallbacks))
  , lastUpdate_(aLoop.GetClock().Now())
  , unreachableSince_(lastUpdate_)
{
  ReadPage("");
}

TableWatch::~TableWatch()
{
  loop_.CancelTimer(timer_);
}

void
TableWatch::Schedule(Duration aDelay, std::function<void()> aStep)
{
  loop_.CancelTimer(timer_);
  timer_ = loop_.CallAfter(aDelay, std::move(aStep));
}

void
TableWatch::Reload(Duration aDelay)
{
  if (isReading_) {
    return;
  }
  ++generation_;
  isReading_ = true;
  Schedule(aDelay, [this] { ReadPage(""); });
}

void
TableWatch::ReadPage(const std::string& aAfter)
{
  if (aAfter.empty()) {
    pages_.clear();
    pagesVersion_ = 0;
  }
  nextPage_ = aAfter;
  callStart_ = loop_.GetClock().Now();
  store_.Read(options_.table_,
              aAfter,
              [this, generation = ++generation_](const StoreReply& aReply) {
                if (generation == generation_) {
                  OnPage(aReply);
                }
              });
}

void
TableWatch::OnPage(const StoreReply& aReply)
{
  if (aReply.status_ != StoreStatus::Ok) {
    OnFailure();
    return;
  }
  RecordReply();
  // Changes since the first page are delivered by the watch, which starts at
  // its version.
  const bool isFirstPage = pagesVersion_ == 0;
  if (isFirstPage) {
    pagesVersion_ = aReply.version_;
    pagesEra_ = aReply.era_;
  } else if (aReply.era_ != pagesEra_) {
    ReadPage("");
    return;
  }
  for (const StoreRow& row : aReply.rows_) {
    pages_[row.key_] = row;
  }
  if (aReply.hasMore_ && !aReply.rows_.empty()) {
    ReadPage(aReply.rows_.back().key_);
    return;
  }
  const bool isRestored = hasSnapshot_ && pagesEra_ > era_;
  if (hasSnapshot_ && !isRestored) {
    if (pagesVersion_ < deletedSince_) {
      // Rows of these pages may have been deleted, and it isn't known which.
      ReadPage("");
      return;
    }
    KeepLaterChanges();
  }
  rows_ = std::move(pages_);
  pages_.clear();
  version_ = pagesVersion_;
  era_ = std::max(era_, pagesEra_);
  restoredVersion_ = isRestored ? version_ : restoredVersion_;
  deleted_.clear();
  deletedSince_ = version_;
  latestChange_ = 0;
  for (const auto& [key, row] : rows_) {
    latestChange_ = std::max(latestChange_, row.version_);
  }
  hasSnapshot_ = true;
  isReading_ = false;
  LogLine line("table_read");
  line.Add("table", options_.table_)
    .Add("rows", std::uint64_t(rows_.size()))
    .Add("version", version_)
    .Add("era", era_.Value());
  log_.WriteImportant(line);
  const std::uint64_t generation = generation_;
  if (isRestored && callbacks_.onRestored_) {
    callbacks_.onRestored_();
  }
  callbacks_.onChange_();
  if (generation == generation_) {
    Schedule(options_.batchDelay_, [this] { Watch(); });
  }
}

void
TableWatch::KeepLaterChanges()
{
  // The last pages can be later than the first one, and later than the copy.
  const auto isLater = [this](const StoreRow& aRow) {
    const auto page = pages_.find(aRow.key_);
    return aRow.version_ > pagesVersion_ &&
           (page == pages_.end() || aRow.version_ > page->second.version_);
  };
  for (const auto& [key, row] : rows_) {
    if (isLater(row)) {
      pages_[key] = row;
    }
  }
  for (const auto& [key, row] : deleted_) {
    if (isLater(row)) {
      pages_.erase(key);
    }
  }
  pagesVersion_ = std::max(pagesVersion_, version_);
}

bool
TableWatch::HasLaterRow(const StoreRow& aRow) const
{
  for (const auto* rows : { &rows_, &deleted_ }) {
    const auto known = rows->find(aRow.key_);
    if (known != rows->end() && known->second.version_ > aRow.version_) {
      return true;
    }
  }
  return false;
}

void
TableWatch::ApplyChanges(const std::vector<StoreRow>& aRows,
                         std::uint64_t aVersion)
{
  const std::uint64_t known = std::exchange(version_, aVersion);
  for (const StoreRow& row : aRows) {
    // Replies of the store and relayed rows may overtake each other, so some of
    // the changes can already be part of the copy.
    if (row.version_ > known && !HasLaterRow(row)) {
      ApplyRow(row);
    }
  }
}

void
TableWatch::ApplyRow(const StoreRow& aRow)
{
  latestChange_ = std::max(latestChange_, aRow.version_);
  if (!aRow.isDeleted_) {
    rows_[aRow.key_] = aRow;
    deleted_.erase(aRow.key_);
    return;
  }
  rows_.erase(aRow.key_);
  deleted_[aRow.key_] = aRow;
  if (deleted_.size() > kMaxDeletedRows) {
    deletedSince_ = version_;
    deleted_.clear();
  }
}

void
TableWatch::SetPaused(bool aIsPaused)
{
  if (aIsPaused == isPaused_ || !hasSnapshot_) {
    return;
  }
  isPaused_ = aIsPaused;
  if (isReading_) {
    return;
  }
  ++generation_;
  loop_.CancelTimer(timer_);
  if (!isPaused_) {
    Watch();
  }
}

void
TableWatch::ApplyRows(const std::vector<StoreRow>& aRows, StoreVersion aVersion)
{
  lastUpdate_ = loop_.GetClock().Now();
  if (!hasSnapshot_ || CheckEra(aVersion.era_) || aVersion.era_ != era_ ||
      aVersion.number_ < version_) {
    return;
  }
  ApplyChanges(aRows, aVersion.number_);
  if (!aRows.empty()) {
    callbacks_.onChange_();
  }
}

bool
TableWatch::ChangesSince(StoreVersion aVersion,
                         std::vector<StoreRow>& aRows) const
{
  if (!hasSnapshot_ || aVersion.era_ != era_ ||
      aVersion.number_ < deletedSince_) {
    return false;
  }
  for (const auto* rows : { &rows_, &deleted_ }) {
    for (const auto& [key, row] : *rows) {
      if (row.version_ > aVersion.number_) {
        aRows.push_back(row);
      }
    }
  }
  return true;
}

void
TableWatch::Watch()
{
  if (isPaused_) {
    return;
  }
  callStart_ = loop_.GetClock().Now();
  store_.Watch(options_.table_,
               version_,
               isUnreachable_ ? Duration(0) : options_.wait_,
               [this, generation = ++generation_](const StoreReply& aReply) {
                 if (generation == generation_) {
                   OnChanges(aReply);
                 }
               });
}

void
TableWatch::OnChanges(const StoreReply& aReply)
{
  if (aReply.status_ == StoreStatus::HistoryGone) {
    RecordReply();
    LogLine line("table_history_gone");
    line.Add("table", options_.table_).Add("version", version_);
    log_.WriteImportant(line);
    Reload(kMinBackoff);
    return;
  }
  if (aReply.status_ != StoreStatus::Ok) {
    OnFailure();
    return;
  }
  RecordReply();
  if (CheckEra(aReply.era_)) {
    return;
  }
  std::vector<StoreRow> rows = aReply.rows_;
  FillVersions(rows, aReply.version_);
  ApplyChanges(rows, std::max(version_, aReply.version_));
  const std::uint64_t generation = generation_;
  if (!aReply.rows_.empty()) {
    callbacks_.onChange_();
  }
  if (generation == generation_) {
    Schedule(aReply.rows_.empty() ? Duration(0) : options_.batchDelay_,
             [this] { Watch(); });
  }
}

bool
TableWatch::CheckEra(StoreEra aEra)
{
  if (aEra <= era_) {
    return false;
  }
  LogLine line("store_restored");
  line.Add("table", options_.table_)
    .Add("version", version_)
    .Add("era", aEra.Value());
  log_.WriteImportant(line);
  Reload(Duration(0));
  return true;
}

void
TableWatch::OnFailure()
{
  ++failedCalls_;
  if (!isUnreachable_) {
    isUnreachable_ = true;
    unreachableSince_ = lastUpdate_;
    LogLine line("store_lost");
    line.Add("table", options_.table_).Add("version", version_);
    line.Add("callMs", Milliseconds(loop_.GetClock().Now() - callStart_));
    log_.WriteImportant(line);
  }
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  Schedule(backoff_, [this] {
    if (isReading_) {
      ReadPage(nextPage_);
    } else {
      Watch();
    }
  });
}

void
TableWatch::RecordReply()
{
  const MonotonicTime now = loop_.GetClock().Now();
  lastUpdate_ = now;
  backoff_ = Duration(0);
  const std::uint64_t failedCalls = std::exchange(failedCalls_, 0);
  if (!isUnreachable_) {
    return;
  }
  isUnreachable_ = false;
  const Duration outage = now - unreachableSince_;
  LogLine line("store_regained");
  line.Add("table", options_.table_)
    .Add("outageMs", Milliseconds(outage))
    .Add("callMs", Milliseconds(now - callStart_))
    .Add("failedCalls", failedCalls);
  log_.WriteImportant(line);
  if (callbacks_.onRecovered_) {
    callbacks_.onRecovered_(outage);
  }
}

} // namespace sycamoreward::edge
