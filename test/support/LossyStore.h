#pragma once

// The path of one instance to a store, on which single calls are never
// answered. Such a call times out like those of StoreClient.

#include "edge/RowStore.h"
#include "runtime/EventLoop.h"

#include <cstdint>
#include <list>
#include <memory>
#include <utility>

namespace sycamoreward {

class LossyStore final : public edge::RowStore
{
public:
  LossyStore(EventLoop& aLoop, edge::RowStore& aStore)
    : loop_(aLoop)
    , store_(aStore)
  {
  }

  // Leaves aCount calls in series unanswered, beginning with those in progress.
  void LoseCalls(std::uint64_t aCount)
  {
    lost_ = aCount;
    for (const auto& weak : calls_) {
      const auto call = weak.lock();
      if (call != nullptr && !call->isEnded_ && !call->isLost_) {
        call->isLost_ = true;
        lost_ = aCount - 1;
      }
    }
  }

  void Read(const std::string& aTable,
            const std::string& aAfter,
            OnReply aOnReply) override
  {
    store_.Read(aTable, aAfter, Begin(kReadTimeout, std::move(aOnReply)));
  }

  void Watch(const std::string& aTable,
             std::uint64_t aVersion,
             Duration aWait,
             OnReply aOnReply) override
  {
    store_.Watch(aTable,
                 aVersion,
                 aWait,
                 Begin(aWait + kWatchMargin, std::move(aOnReply)));
  }

  void Write(const edge::StoreWrite& aWrite, OnReply aOnReply) override
  {
    store_.Write(aWrite, Begin(kReadTimeout, std::move(aOnReply)));
  }

private:
  struct Call
  {
    bool isLost_ = false;
    bool isEnded_ = false;
  };

  static constexpr Duration kReadTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kWatchMargin = std::chrono::milliseconds(600);

  // Returns the callback that gets the reply of the store.
  OnReply Begin(Duration aTimeout, OnReply aOnReply)
  {
    auto call = std::make_shared<Call>();
    if (lost_ > 0) {
      --lost_;
      call->isLost_ = true;
    }
    calls_.remove_if([](const auto& aCall) { return aCall.expired(); });
    calls_.push_back(call);
    auto onReply = std::make_shared<OnReply>(std::move(aOnReply));
    loop_.CallAfter(aTimeout, [call, onReply] {
      if (call->isLost_ && !std::exchange(call->isEnded_, true)) {
        (*onReply)({});
      }
    });
    return [call, onReply](const edge::StoreReply& aReply) {
      if (!call->isLost_ && !std::exchange(call->isEnded_, true)) {
        (*onReply)(aReply);
      }
    };
  }

  EventLoop& loop_;
  edge::RowStore& store_;
  std::list<std::weak_ptr<Call>> calls_;
  std::uint64_t lost_ = 0;
};

} // namespace sycamoreward
