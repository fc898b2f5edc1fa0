#pragma once

// Stand-in of the platform's metadata store: tables with conditional writes and
// a feed of changes, with faults.

#include "base/Address.h"
#include "base/Clock.h"
#include "http/CallerServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sycamoreward::standin {

// How the store behaves.
struct StoreFaults
{
  // Calls are answered with 503.
  bool isBusy_ = false;
  // Calls are not answered at all.
  bool isSilent_ = false;
  // Connections are reset.
  bool isReset_ = false;
  // The next writes that are done and not answered.
  int lostWrites_ = 0;
};

class StoreStandIn
{
public:
  // Listens on a port that the system picks.
  explicit StoreStandIn(EventLoop& aLoop);
  ~StoreStandIn();

  Address BoundAddress() const { return server_->BoundAddress(); }

  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  // The value of a row; empty without one.
  std::string Value(const std::string& aTable, const std::string& aKey) const;
  // Forgets all changes, so that watches get 410.
  void DropHistory() { firstChange_ = version_; }

  StoreFaults faults_;
  std::uint64_t calls_ = 0;

private:
  struct Row
  {
    std::string value_;
    std::uint64_t version_ = 0;
    bool isDeleted_ = false;
  };
  using Key = std::pair<std::string, std::string>;
  struct Watch
  {
    std::shared_ptr<http::CallerExchange> exchange_;
    std::string table_;
    std::uint64_t after_ = 0;
    MonotonicTime end_;
  };

  void Handle(const std::shared_ptr<http::CallerExchange>& aExchange);
  void Read(http::CallerExchange& aExchange);
  void Write(http::CallerExchange& aExchange);
  void Feed(const std::shared_ptr<http::CallerExchange>& aExchange);
  bool AnswerWatch(const Watch& aWatch, bool aIsEnd);
  void CheckWatches();
  void Change(const std::string& aTable,
              const std::string& aKey,
              const std::string& aValue,
              bool aIsDeleted);

  EventLoop& loop_;
  std::unique_ptr<http::CallerServer> server_;
  // Deleted rows stay, for the feed.
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 1;
  std::uint64_t firstChange_ = 0;
  std::vector<Watch> watches_;
  std::uint64_t timer_ = 0;
};

} // namespace sycamoreward::standin
