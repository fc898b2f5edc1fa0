#pragma once

// Stand-in for the platform's metadata store. Provides tables with conditional
// writes and a change feed, and injects faults.

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

// Faults to inject.
struct StoreFaults
{
  // Calls are answered with 503.
  bool isBusy_ = false;
  // Calls are not answered at all.
  bool isSilent_ = false;
  // Connections are reset.
  bool isReset_ = false;
  // Number of next writes to apply without answering.
  int lostWrites_ = 0;
};

class StoreStandIn
{
public:
  // Listens on an ephemeral port.
  explicit StoreStandIn(EventLoop& aLoop);
  ~StoreStandIn();

  Address BoundAddress() const { return server_->BoundAddress(); }

  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  // Returns the value of a row, or an empty string if it does not exist.
  std::string Value(const std::string& aTable, const std::string& aKey) const;
  // A copy of the rows, to which the store can return.
  struct Copy;
  Copy MakeCopy() const;
  // Returns to aCopy in a new era: later writes are lost, and their versions
  // are given out again. Waiting calls are not answered.
  void Restore(const Copy& aCopy);

  // Discards the change history, so that watches of older versions get 410.
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

public:
  struct Copy
  {
    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
  };

private:
  struct Watch
  {
    std::shared_ptr<http::CallerExchange> exchange_;
    std::string table_;
    std::uint64_t after_ = 0;
    MonotonicTime end_;
  };

  void Handle(const std::shared_ptr<http::CallerExchange>& aExchange);
  // Answers with the era of the store in a header field.
  void Answer(http::CallerExchange& aExchange,
              int aStatus,
              const std::string& aBody) const;
  void Read(http::CallerExchange& aExchange);
  void Write(http::CallerExchange& aExchange);
  void Feed(const std::shared_ptr<http::CallerExchange>& aExchange);
  bool AnswerWatch(const Watch& aWatch, bool aIsEnd) const;
  void CheckWatches();
  void Change(const std::string& aTable,
              const std::string& aKey,
              const std::string& aValue,
              bool aIsDeleted);

  EventLoop& loop_;
  std::unique_ptr<http::CallerServer> server_;
  // Includes deleted rows, which the change feed reports.
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 1;
  std::uint64_t era_ = 1;
  std::uint64_t firstChange_ = 0;
  std::vector<Watch> watches_;
  std::uint64_t timer_ = 0;
};

} // namespace sycamoreward::standin
