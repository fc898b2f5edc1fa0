#pragma once

// Keeps a copy of a table of the platform's store: reads all of it once and
// then waits for changes. Detects when the store becomes unreachable, when it
// is back, and when it has returned from an older copy: then it reads all
// again.

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
  // Longest wait for a change while the store answers. A call that was sent
  // just before the store stopped answering delays the detection of its return
  // by this time.
  Duration wait_ = std::chrono::milliseconds(2000);
  // Changes within this time are fetched with one call, because calls are
  // priced.
  Duration batchDelay_ = std::chrono::milliseconds(100);
};

class TableWatch
{
public:
  struct Callbacks
  {
    // The table was read completely, or the copy has changed.
    std::function<void()> onChange_;
    // The store answers again after an outage of length aOutage.
    std::function<void(Duration aOutage)> onRecovered_;
    // The store has returned from an older copy, and the table was read from
    // it. Called before onChange_.
    std::function<void()> onRestored_ = {};
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
  // Returns whether the table has been read completely.
  bool HasSnapshot() const { return hasSnapshot_; }
  // Returns whether the last call to the store failed.
  bool IsUnreachable() const { return isUnreachable_; }
  // Sets the longest wait of the calls from now on. A store that stops
  // answering is detected half a second after it.
  void SetWait(Duration aWait) { options_.wait_ = aWait; }
  // Returns when the store last answered or relayed rows last arrived.
  MonotonicTime LastUpdate() const { return lastUpdate_; }
  // Reads the whole table again after aDelay. Has no effect while a read is
  // planned or in progress.
  void Reload(Duration aDelay);

  // While paused, the copy is updated with rows that other instances relay; a
  // full read in progress is completed. On resumption it waits for changes
  // since the last of these rows.
  void SetPaused(bool aIsPaused);
  // Applies rows that another instance read, up to version aVersion of the
  // store. Reads the table from the store if aVersion is of a later era.
  void ApplyRows(const std::vector<StoreRow>& aRows, StoreVersion aVersion);
  // Version of the store up to which the copy is complete; number 0 before the
  // table was read.
  StoreVersion Version() const
  {
    return hasSnapshot_ ? StoreVersion{ era_, version_ } : StoreVersion{};
  }
  // Version of the latest change that the copy has, at most Version().
  StoreVersion LatestChange() const
  {
    return hasSnapshot_ ? StoreVersion{ era_, latestChange_ } : StoreVersion{};
  }
  // Version of the first read since the store returned from an older copy; 0 if
  // it never did. Rows up to it may be older than what was seen before.
  std::uint64_t RestoredVersion() const { return restoredVersion_; }
  // Appends the rows that changed after aVersion, deleted ones included.
  // Returns false if they are not known: aVersion is of another era, or the
  // deletions since then are no longer kept.
  bool ChangesSince(StoreVersion aVersion, std::vector<StoreRow>& aRows) const;

private:
  void ReadPage(const std::string& aAfter);
  void OnPage(const StoreReply& aReply);
  void Watch();
  void OnChanges(const StoreReply& aReply);
  void OnFailure();
  void RecordReply();
  // Handles a change of the era between the copy and aEra: reads the table
  // again. Returns whether there was one.
  bool CheckEra(StoreEra aEra);
  // Applies changes in their order and advances the copy to aVersion, which is
  // not before version_. Leaves out changes that the copy already has: those up
  // to version_, and those of rows that it has in a later version.
  void ApplyChanges(const std::vector<StoreRow>& aRows, std::uint64_t aVersion);
  void ApplyRow(const StoreRow& aRow);
  // Returns whether the copy has a later row or deletion under the key of aRow.
  bool HasLaterRow(const StoreRow& aRow) const;
  // Adds the changes after pagesVersion_ that the copy already has to the rows
  // of a full read.
  void KeepLaterChanges();
  void Schedule(Duration aDelay, std::function<void()> aStep);

  EventLoop& loop_;
  RowStore& store_;
  DecisionLog& log_;
  TableWatchOptions options_;
  Callbacks callbacks_;
  std::map<std::string, StoreRow> rows_;
  // Pages of a full read that is in progress.
  std::map<std::string, StoreRow> pages_;
  std::uint64_t pagesVersion_ = 0;
  StoreEra pagesEra_;
  StoreEra era_;
  // Version of the store up to which the copy has all changes. Each row and
  // each deletion keeps the version of its own change, which tells which one is
  // later.
  std::uint64_t version_ = 0;
  std::uint64_t latestChange_ = 0;
  std::uint64_t restoredVersion_ = 0;
  // Recently deleted rows for ChangesSince, and the version after which they
  // are complete.
  std::map<std::string, StoreRow> deleted_;
  std::uint64_t deletedSince_ = 0;
  bool isPaused_ = false;
  bool hasSnapshot_ = false;
  bool isUnreachable_ = false;
  // A full read is planned or in progress, and the key after which its next
  // page begins.
  bool isReading_ = true;
  std::string nextPage_;
  MonotonicTime lastUpdate_;
  MonotonicTime unreachableSince_;
  Duration backoff_{ 0 };
  std::uint64_t timer_ = 0;
  // Replies to calls of an earlier step are ignored.
  std::uint64_t generation_ = 0;
  // When the last call began, and the number of calls that failed since the
  // last reply. In the log they tell a call that the store never answered from
  // a late answer.
  MonotonicTime callStart_;
  std::uint64_t failedCalls_ = 0;
};

} // namespace sycamoreward::edge
