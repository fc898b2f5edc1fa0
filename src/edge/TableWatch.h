#pragma once

// Keeps a copy of a table of the platform's store: reads it whole once and
// then waits for changes. Notices when the store is away and when it is back.

#include "base/Clock.h"
#include "edge/DecisionLog.h"
#include "edge/RowStore.h"

#include <functional>
#include <map>
#include <string>

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
  Duration gather_ = std::chrono::milliseconds(100);
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
  bool IsAway() const { return isAway_; }
  MonotonicTime LastHeard() const { return lastHeard_; }
  // Reads the whole table again, after aDelay.
  void ReadAgain(Duration aDelay);

private:
  void ReadPage(const std::string& aAfter);
  void OnPage(const StoreReply& aReply);
  void Watch();
  void OnChanges(const StoreReply& aReply);
  void OnFailure();
  void NoteAnswer();
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
  bool hasSnapshot_ = false;
  bool isAway_ = false;
  bool readsWhole_ = true;
  MonotonicTime lastHeard_;
  MonotonicTime awaySince_;
  Duration backoff_{ 0 };
  std::uint64_t timer_ = 0;
  // Replies to calls of an earlier step are ignored.
  std::uint64_t step_ = 0;
};

} // namespace sycamoreward::edge
