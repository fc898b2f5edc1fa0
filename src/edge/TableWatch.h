#pragma once

// Keeps a copy of a table of the platform's store: reads it whole once and
// then waits for changes. Notices when the store is away and when it is back.

#include "base/Clock.h"
#include "edge/DecisionLog.h"
#include "edge/RowStore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::edge {

struct TableWatchOptions
{
  std::string table_;
  // Longest wait for a change. After an outage in which the store went silent
  // a new wait begins within this time.
  Duration wait_ = std::chrono::milliseconds(2000);
  // Changes of this time are taken with one call, since calls are priced.
  Duration batchDelay_ = std::chrono::milliseconds(100);
};

class TableWatch
{
public:
  struct Callbacks
  {
    // The copy was read whole or has changed.
    std::function<void()> onChange_;
    // The store answers again after it did not for aOutage.
    std::function<void(Duration aOutage)> onRecovered_;
  };

  TableWatch(EventLoop& aLoop,
             RowStore& aStore,
             DecisionLog& aLog,
             TableWatchOptions aOptions,
             Callbacks aCallbacks);
  ~TableWatch();
  TableWatch(const TableWatch&) = delete;
  TableWatch& operator=(const TableWatch&) = delete;

  const std::map<std::string, StoreRow>& Rows() const { return rows_; }
  bool HasSnapshot() const { return hasSnapshot_; }
  bool IsUnreachable() const { return isUnreachable_; }
  // Longest wait of the calls from now on. A store that went silent is noticed
  // half a second after it.
  void SetWait(Duration aWait) { options_.wait_ = aWait; }
  MonotonicTime LastUpdate() const { return lastUpdate_; }
  // Reads the whole table again, after aDelay.
  void Reload(Duration aDelay);

  // While it is paused the table is kept by rows that others pass on. Resuming
  // waits for changes since the last of them.
  void SetPaused(bool aIsPaused);
  // Enters rows that another instance read, up to aVersion of the store.
  void ApplyRows(const std::vector<StoreRow>& aRows, std::uint64_t aVersion);
  // Version of the store up to which the copy is known to be whole.
  std::uint64_t Version() const { return hasSnapshot_ ? version_ : 0; }
  // Rows that changed after aVersion, deleted ones included. False when the
  // deletions since then are not known any more.
  bool ChangesSince(std::uint64_t aVersion, std::vector<StoreRow>& aRows) const;

private:
  void ReadPage(const std::string& aAfter);
  void OnPage(const StoreReply& aReply);
  void Watch();
  void OnChanges(const StoreReply& aReply);
  void OnFailure();
  void RecordReply();
  void ApplyRow(const StoreRow& aRow);
  void Schedule(Duration aDelay, std::function<void()> aStep);

  EventLoop& loop_;
  RowStore& store_;
  DecisionLog& log_;
  TableWatchOptions options_;
  Callbacks callbacks_;
  std::map<std::string, StoreRow> rows_;
  // The pages read so far of a table that is read whole.
  std::map<std::string, StoreRow> pages_;
  std::uint64_t pagesVersion_ = 0;
  std::uint64_t version_ = 0;
  // Rows that were deleted lately, for ChangesSince, and the version after
  // which all deletions are among them.
  std::map<std::string, StoreRow> deleted_;
  std::uint64_t deletedSince_ = 0;
  bool isPaused_ = false;
  bool hasSnapshot_ = false;
  bool isUnreachable_ = false;
  bool needsFullRead_ = true;
  MonotonicTime lastUpdate_;
  MonotonicTime unreachableSince_;
  Duration backoff_{ 0 };
  std::uint64_t timer_ = 0;
  // Replies to calls of an earlier step are ignored.
  std::uint64_t generation_ = 0;
};

} // namespace sycamoreward::edge
