#pragma once

// A store of one table that can stop answering, as when it is down or
// partitioned, and that can return from an older copy. Calls made while it is
// silent are never answered and time out like those of StoreClient. A watch
// gets every change in order, also several of one row.

#include "edge/RowStore.h"
#include "runtime/EventLoop.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace sycamoreward {

class SilentStore final : public edge::RowStore
{
public:
  explicit SilentStore(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  // Calls in progress are not answered after an outage either.
  void SetSilent(bool aIsSilent)
  {
    isSilent_ = aIsSilent;
    if (isSilent_) {
      ++outages_;
      waiting_.clear();
    }
  }
  std::uint64_t Calls() const { return calls_; }

  // Writes a row and answers the calls that wait for a change.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    Change({ "table", aKey, aValue, 0, false });
  }
  void Remove(const std::string& aKey)
  {
    Change({ "table", aKey, "", 0, true });
  }

  std::uint64_t Version() const { return version_; }

  // Maximum number of rows in the answer to a read.
  void SetPageSize(std::size_t aRows) { pageSize_ = aRows; }
  // The key after which the last page began that was read.
  const std::string& LastRead() const { return lastRead_; }
  // Sets whether answers to watches name the versions of deletions.
  void SetNamesDeletions(bool aIsNaming) { isNamingDeletions_ = aIsNaming; }

  // Returns to the copy of version aVersion, in a new era. Waiting calls are
  // not answered.
  void Restore(std::uint64_t aVersion)
  {
    rows_ = copies_[aVersion];
    copies_.erase(copies_.upper_bound(aVersion), copies_.end());
    history_.erase(std::remove_if(history_.begin(),
                                  history_.end(),
                                  [&](const edge::StoreRow& aRow) {
                                    return aRow.version_ > aVersion;
                                  }),
                   history_.end());
    version_ = aVersion;
    era_ = StoreEra(era_.Value() + 1);
    waiting_.clear();
  }

  // The rows that exist, by key.
  std::map<std::string, std::string> Values() const
  {
    std::map<std::string, std::string> values;
    for (const auto& [key, row] : rows_) {
      if (!row.isDeleted_) {
        values[key] = row.value_;
      }
    }
    return values;
  }

  void Read(const std::string& /*aTable*/,
            const std::string& aAfter,
            OnReply aOnReply) override
  {
    lastRead_ = aAfter;
    Begin(
      kReadTimeout, std::move(aOnReply), [this, aAfter](const Answer& aAnswer) {
        edge::StoreReply reply = EmptyReply();
        for (auto row = rows_.upper_bound(aAfter); row != rows_.end(); ++row) {
          if (row->second.isDeleted_) {
            continue;
          }
          if (reply.rows_.size() == pageSize_) {
            reply.hasMore_ = true;
            break;
          }
          reply.rows_.push_back(row->second);
        }
        aAnswer(reply);
      });
  }

  void Watch(const std::string& /*aTable*/,
             std::uint64_t aVersion,
             Duration aWait,
             OnReply aOnReply) override
  {
    Begin(aWait + kWatchMargin,
          std::move(aOnReply),
          [this, aVersion, aWait](const Answer& aAnswer) {
            if (aVersion > version_) {
              // The store has never had this version, or no longer has it.
              edge::StoreReply gone;
              gone.status_ = edge::StoreStatus::HistoryGone;
              gone.era_ = era_;
              aAnswer(gone);
              return;
            }
            if (version_ > aVersion) {
              aAnswer(Changes(aVersion));
              return;
            }
            waiting_.emplace_back(aVersion, aAnswer);
            const auto isSame = [this, era = era_, outages = outages_] {
              return era == era_ && outages == outages_;
            };
            loop_.CallAfter(aWait, [this, aVersion, aAnswer, isSame] {
              if (!isSilent_ && isSame()) {
                aAnswer(Changes(aVersion));
              }
            });
          });
  }

  void Write(const edge::StoreWrite& /*aWrite*/, OnReply aOnReply) override
  {
    Begin(kReadTimeout, std::move(aOnReply), [this](const Answer& aAnswer) {
      aAnswer({ edge::StoreStatus::Ok, {}, version_, false, era_ });
    });
  }

private:
  // The first call counts; later ones are ignored.
  using Answer = std::function<void(edge::StoreReply)>;

  static constexpr Duration kReadTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kWatchMargin = std::chrono::milliseconds(600);
  static constexpr Duration kDelay = std::chrono::milliseconds(5);

  edge::StoreReply EmptyReply() const
  {
    return { edge::StoreStatus::Ok, {}, version_, false, era_ };
  }

  edge::StoreReply Changes(std::uint64_t aSince) const
  {
    edge::StoreReply reply = EmptyReply();
    for (const edge::StoreRow& row : history_) {
      if (row.version_ > aSince) {
        reply.rows_.push_back(row);
        if (row.isDeleted_ && !isNamingDeletions_) {
          reply.rows_.back().version_ = 0;
        }
      }
    }
    return reply;
  }

  void Change(edge::StoreRow aRow)
  {
    aRow.version_ = ++version_;
    rows_[aRow.key_] = aRow;
    copies_[version_] = rows_;
    history_.push_back(aRow);
    if (isSilent_) {
      return;
    }
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& [since, answer] : waiting) {
      answer(Changes(since));
    }
  }

  void Begin(Duration aTimeout,
             OnReply aOnReply,
             const std::function<void(const Answer&)>& aHandle)
  {
    ++calls_;
    auto pending = std::make_shared<OnReply>(std::move(aOnReply));
    const Answer answer = [pending](const edge::StoreReply& aReply) {
      if (const auto onReply = std::exchange(*pending, nullptr)) {
        onReply(aReply);
      }
    };
    loop_.CallAfter(aTimeout, [answer] { answer({}); });
    if (!isSilent_) {
      loop_.CallAfter(kDelay, [aHandle, answer] { aHandle(answer); });
    }
  }

  EventLoop& loop_;
  std::map<std::string, edge::StoreRow> rows_;
  // The rows as of each version.
  std::map<std::uint64_t, std::map<std::string, edge::StoreRow>> copies_{
    { 1, {} }
  };
  std::vector<edge::StoreRow> history_;
  std::size_t pageSize_ = 500;
  std::string lastRead_;
  bool isNamingDeletions_ = true;
  StoreEra era_ = StoreEra(1);
  std::list<std::pair<std::uint64_t, Answer>> waiting_;
  std::uint64_t version_ = 1;
  std::uint64_t calls_ = 0;
  std::uint64_t outages_ = 0;
  bool isSilent_ = false;
};

} // namespace sycamoreward
