#pragma once

// The platform's store in memory, with answers after a delay. It can be away
// and return as it was before, in a new era.

#include "edge/RowStore.h"
#include "runtime/EventLoop.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sycamoreward {

class MemoryStore final : public edge::RowStore
{
public:
  struct Copy
  {
    std::map<std::pair<std::string, std::string>, edge::StoreRow> rows_;
    std::uint64_t version_ = 0;
  };

  explicit MemoryStore(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  const Copy& Content() const { return content_; }
  // Returns to aCopy in a new era.
  void Restore(const Copy& aCopy)
  {
    content_ = aCopy;
    era_ = StoreEra(era_.Value() + 1);
  }

  // Calls are answered without having been carried out.
  bool isAway_ = false;
  Duration delay_ = std::chrono::milliseconds(5);

  void Read(const std::string& aTable,
            const std::string& aAfter,
            OnReply aOnReply) override
  {
    edge::StoreReply reply = MakeReply();
    for (const auto& [key, row] : content_.rows_) {
      if (row.table_ == aTable && row.key_ > aAfter && !row.isDeleted_) {
        reply.rows_.push_back(row);
      }
    }
    Answer(std::move(reply), std::move(aOnReply), Duration(0));
  }

  // Answers at the end of the wait, with what has changed by then.
  void Watch(const std::string& aTable,
             std::uint64_t aVersion,
             Duration aWait,
             OnReply aOnReply) override
  {
    loop_.CallAfter(aWait,
                    [this, aTable, aVersion, onReply = std::move(aOnReply)] {
                      edge::StoreReply reply = MakeReply();
                      if (aVersion > content_.version_) {
                        reply.status_ = edge::StoreStatus::HistoryGone;
                      }
                      for (const auto& [key, row] : content_.rows_) {
                        if (row.table_ == aTable && row.version_ > aVersion) {
                          reply.rows_.push_back(row);
                        }
                      }
                      Answer(std::move(reply), onReply, Duration(0));
                    });
  }

  void Write(const edge::StoreWrite& aWrite, OnReply aOnReply) override
  {
    // The write reaches the store after half of the delay.
    loop_.CallAfter(delay_ / 2, [this, aWrite, onReply = std::move(aOnReply)] {
      Answer(Apply(aWrite), onReply, delay_ / 2);
    });
  }

private:
  edge::StoreReply MakeReply() const
  {
    edge::StoreReply reply;
    if (!isAway_) {
      reply.status_ = edge::StoreStatus::Ok;
      reply.version_ = content_.version_;
      reply.era_ = era_;
    }
    return reply;
  }

  std::uint64_t VersionOf(const std::string& aTable,
                          const std::string& aKey) const
  {
    const auto found = content_.rows_.find({ aTable, aKey });
    const bool isThere =
      found != content_.rows_.end() && !found->second.isDeleted_;
    return isThere ? found->second.version_ : 0;
  }

  edge::StoreReply Apply(const edge::StoreWrite& aWrite)
  {
    edge::StoreReply reply = MakeReply();
    if (isAway_) {
      return reply;
    }
    for (const auto& condition : aWrite.conditions_) {
      if (VersionOf(condition.table_, condition.key_) != condition.version_) {
        reply.status_ = edge::StoreStatus::Conflict;
      }
    }
    if (reply.status_ == edge::StoreStatus::Conflict) {
      for (const auto& condition : aWrite.conditions_) {
        const auto found =
          content_.rows_.find({ condition.table_, condition.key_ });
        if (found != content_.rows_.end()) {
          reply.rows_.push_back(found->second);
        }
      }
      return reply;
    }
    reply.version_ = ++content_.version_;
    for (const auto* rows : { &aWrite.rows_, &aWrite.removed_ }) {
      for (edge::StoreRow row : *rows) {
        row.version_ = content_.version_;
        row.isDeleted_ = rows == &aWrite.removed_;
        content_.rows_[{ row.table_, row.key_ }] = row;
      }
    }
    return reply;
  }

  void Answer(edge::StoreReply aReply, OnReply aOnReply, Duration aSpent)
  {
    loop_.CallAfter(delay_ - aSpent,
                    [reply = std::move(aReply), onReply = std::move(aOnReply)] {
                      onReply(reply);
                    });
  }

  EventLoop& loop_;
  Copy content_{ {}, 1 };
  StoreEra era_{ 1 };
};

} // namespace sycamoreward
