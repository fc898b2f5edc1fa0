#include "store/ResolveInsert.h"

#include "runtime/EventLoop.h"

#include <algorithm>
#include <memory>

namespace sycamoreward {

const char* const kWriteTokenName = "writeToken";

namespace {

struct Resolution
{
  Table& table_;
  EventLoop& loop_;
  RowKey key_;
  std::string writeToken_;
  ResolveLimits limits_;
  std::function<void(InsertState)> onState_;
  unsigned reads_ = 0;
  Duration delay_{ 0 };
};

void
ReadBack(const std::shared_ptr<Resolution>& aResolution)
{
  aResolution->table_.Read(aResolution->key_, [aResolution](ReadReply aReply) {
    const InsertState state = ClassifyInsert(aReply, aResolution->writeToken_);
    if (state != InsertState::Unreadable ||
        ++aResolution->reads_ >= aResolution->limits_.maxReads_) {
      aResolution->onState_(state);
      return;
    }
    aResolution->loop_.CallAfter(aResolution->delay_,
                                 [aResolution] { ReadBack(aResolution); });
    aResolution->delay_ =
      std::min(aResolution->delay_ * 2, aResolution->limits_.maxDelay_);
  });
}

} // namespace

InsertState
ClassifyInsert(const ReadReply& aReply, const std::string& aWriteToken)
{
  if (!aReply.isOk_) {
    return InsertState::Unreadable;
  }
  if (aReply.rows_.empty()) {
    return InsertState::Absent;
  }
  const auto& values = aReply.rows_.front().values_;
  const auto token = values.find(kWriteTokenName);
  return token != values.end() && token->second == aWriteToken
           ? InsertState::Inserted
           : InsertState::LostRace;
}

void
ResolveInsert(Table& aTable,
              EventLoop& aLoop,
              const RowKey& aKey,
              const std::string& aWriteToken,
              const ResolveLimits& aLimits,
              std::function<void(InsertState)> aOnState)
{
  ReadBack(std::make_shared<Resolution>(Resolution{ aTable,
                                                    aLoop,
                                                    aKey,
                                                    aWriteToken,
                                                    aLimits,
                                                    std::move(aOnState),
                                                    0,
                                                    aLimits.initialDelay_ }));
}

} // namespace sycamoreward
