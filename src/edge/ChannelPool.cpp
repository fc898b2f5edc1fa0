#include "edge/ChannelPool.h"

#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Interval at which connections that servers are about to close are closed.
constexpr Duration kSweepInterval = std::chrono::milliseconds(500);

} // namespace

ChannelPool::ChannelPool(EventLoop& aLoop)
  : loop_(aLoop)
{
  Sweep();
}

ChannelPool::~ChannelPool()
{
  loop_.CancelTimer(timer_);
  for (auto& [server, channels] : idle_) {
    for (Idle& idle : channels) {
      idle.channel_->Cut();
    }
  }
}

ChannelPool::Lease
ChannelPool::Acquire(const ServerId& aServer,
                     const Address& aAddress,
                     Duration aMaxIdle,
                     const RequestId& aRequest)
{
  const MonotonicTime now = loop_.GetClock().Now();
  auto& channels = idle_[aServer];
  if (!channels.empty()) {
    const Idle idle = channels.back();
    const bool isFresh =
      idle.lastRequest_ != aRequest && now - idle.since_ <= aMaxIdle &&
      now < idle.channel_->ReusableUntil() && idle.channel_->CanReuse();
    if (isFresh) {
      channels.pop_back();
      idle.channel_->OnIdleEnd(nullptr);
      return { idle.channel_, true };
    }
  }
  ++opened_;
  auto channel = std::make_shared<http::BackendChannel>(loop_, aAddress);
  channel->SetUp();
  return { channel, false };
}

void
ChannelPool::Return(const ServerId& aServer,
                    const std::shared_ptr<http::BackendChannel>& aChannel,
                    const RequestId& aRequest)
{
  if (!aChannel->CanReuse() ||
      aChannel->ReusableUntil() <= loop_.GetClock().Now()) {
    aChannel->Cut();
    return;
  }
  aChannel->OnIdleEnd(
    [this, aServer, weak = std::weak_ptr<http::BackendChannel>(aChannel)] {
      auto& channels = idle_[aServer];
      const auto channel = weak.lock();
      channels.erase(std::remove_if(channels.begin(),
                                    channels.end(),
                                    [&](const Idle& aIdle) {
                                      return aIdle.channel_ == channel;
                                    }),
                     channels.end());
    });
  idle_[aServer].push_back({ aChannel, loop_.GetClock().Now(), aRequest });
  if (IdleCount() > maxIdle_) {
    CloseOldest();
  }
}

void
ChannelPool::CloseOldest()
{
  std::vector<Idle>* oldest = nullptr;
  for (auto& [server, channels] : idle_) {
    const bool isOlder =
      !channels.empty() &&
      (oldest == nullptr || channels.front().since_ < oldest->front().since_);
    oldest = isOlder ? &channels : oldest;
  }
  if (oldest != nullptr) {
    oldest->front().channel_->Cut();
    oldest->erase(oldest->begin());
  }
}

void
ChannelPool::Drop(const ServerId& aServer)
{
  const auto found = idle_.find(aServer);
  if (found == idle_.end()) {
    return;
  }
  for (Idle& idle : found->second) {
    idle.channel_->Cut();
  }
  idle_.erase(found);
}

std::size_t
ChannelPool::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [server, channels] : idle_) {
    count += channels.size();
  }
  return count;
}

bool
ChannelPool::HasIdle(const ServerId& aServer) const
{
  const auto found = idle_.find(aServer);
  return found != idle_.end() && !found->second.empty();
}

void
ChannelPool::Sweep()
{
  const MonotonicTime now = loop_.GetClock().Now();
  for (auto& [server, channels] : idle_) {
    for (auto idle = channels.begin(); idle != channels.end();) {
      if (now >= idle->channel_->ReusableUntil()) {
        idle->channel_->Cut();
        idle = channels.erase(idle);
      } else {
        ++idle;
      }
    }
  }
  timer_ = loop_.CallAfter(kSweepInterval, [this] { Sweep(); });
}

} // namespace sycamoreward::edge
