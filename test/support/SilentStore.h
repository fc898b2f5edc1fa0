#pragma once

// A store of one table that can stop answering, as when it is down or
// partitioned. Calls made in that time are never answered and time out like
// those of StoreClient.

#include "edge/RowStore.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>

namespace sycamoreward {

class SilentStore final : public edge::RowStore
{
public:
  explicit SilentStore(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  void SetSilent(bool aIsSilent) { isSilent_ = aIsSilent; }
  std::uint64_t Calls() const { return calls_; }

  // Writes a row and answers the calls that wait for a change.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    rows_[aKey] = { "table", aKey, aValue, ++version_, false };
    if (isSilent_) {
      return;
    }
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& [since, answer] : waiting) {
      answer(Changes(since));
    }
  }

  void Read(const std::string& /*aTable*/,
            const std::string& /*aAfter*/,
            OnReply aOnReply) override
  {
    Begin(kReadTimeout, std::move(aOnReply), [this](const Answer& aAnswer) {
      aAnswer(Changes(0));
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
            if (version_ > aVersion) {
              aAnswer(Changes(aVersion));
              return;
            }
            waiting_.emplace_back(aVersion, aAnswer);
            loop_.CallAfter(aWait, [this, aVersion, aAnswer] {
              if (!isSilent_) {
                aAnswer(Changes(aVersion));
              }
            });
          });
  }

  void Write(const edge::StoreWrite& /*aWrite*/, OnReply aOnReply) override
  {
    Begin(kReadTimeout, std::move(aOnReply), [this](const Answer& aAnswer) {
      aAnswer({ edge::StoreStatus::Ok, {}, version_, false });
    });
  }

private:
  // The first call counts; later ones are ignored.
  using Answer = std::function<void(edge::StoreReply)>;

  static constexpr Duration kReadTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kWatchMargin = std::chrono::milliseconds(600);
  static constexpr Duration kDelay = std::chrono::milliseconds(5);

  edge::StoreReply Changes(std::uint64_t aSince) const
  {
    edge::StoreReply reply{ edge::StoreStatus::Ok, {}, version_, false };
    for (const auto& [key, row] : rows_) {
      if (row.version_ > aSince) {
        reply.rows_.push_back(row);
      }
    }
    return reply;
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
  std::list<std::pair<std::uint64_t, Answer>> waiting_;
  std::uint64_t version_ = 1;
  std::uint64_t calls_ = 0;
  bool isSilent_ = false;
};

} // namespace sycamoreward
