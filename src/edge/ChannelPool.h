#pragma once

// Pool of idle connections to backend servers. The most recently used
// connection is reused first.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Ids.h"
#include "http/BackendChannel.h"

#include <limits>
#include <map>
#include <memory>
#include <vector>

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::edge {

class ChannelPool
{
public:
  struct Lease
  {
    std::shared_ptr<http::BackendChannel> channel_;
    // Whether the connection has carried a request before.
    bool isReused_ = false;
  };

  explicit ChannelPool(EventLoop& aLoop);
  ~ChannelPool();
  ChannelPool(const ChannelPool&) = delete;
  ChannelPool& operator=(const ChannelPool&) = delete;

  // Returns an idle connection that was used within the last aMaxIdle, or opens
  // a new one. A connection whose last request had the id aRequest is not
  // reused: if the server repeats its answer, the copy could not be told from
  // the answer to this request.
  Lease Acquire(const ServerId& aServer,
                const Address& aAddress,
                Duration aMaxIdle,
                const RequestId& aRequest);

  // Takes back a connection whose last request was aRequest, or closes it if it
  // can't be reused.
  void Return(const ServerId& aServer,
              const std::shared_ptr<http::BackendChannel>& aChannel,
              const RequestId& aRequest);

  // Closes the idle connections to a server that is no longer listed.
  void Drop(const ServerId& aServer);

  // Sets the maximum number of idle connections to all servers. Above it, those
  // that are idle for longest are closed.
  void SetMaxIdle(std::size_t aCount) { maxIdle_ = aCount; }

  std::uint64_t Opened() const { return opened_; }
  std::size_t IdleCount() const;
  bool HasIdle(const ServerId& aServer) const;

private:
  struct Idle
  {
    std::shared_ptr<http::BackendChannel> channel_;
    MonotonicTime since_;
    RequestId lastRequest_;
  };

  void Sweep();
  void CloseOldest();

  EventLoop& loop_;
  std::size_t maxIdle_ = std::numeric_limits<std::size_t>::max();
  // Most recently used last.
  std::map<ServerId, std::vector<Idle>> idle_;
  std::uint64_t opened_ = 0;
  std::uint64_t timer_ = 0;
};

} // namespace sycamoreward::edge
