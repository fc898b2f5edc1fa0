#pragma once

// Peer networks of several instances in one process, which a test can
// partition. Messages are delivered through the event loop.

#include "peer/PeerNetwork.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace sycamoreward {

class FakePeerNetwork;

// State shared by the networks of a test.
struct FakePeerHub
{
  explicit FakePeerHub(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  // Drops messages in one direction.
  void PartitionOneWay(const std::string& aFrom, const std::string& aTo)
  {
    partitioned_.emplace(aFrom, aTo);
  }
  // Drops messages in both directions.
  void Partition(const std::string& aOne, const std::string& aOther)
  {
    PartitionOneWay(aOne, aOther);
    PartitionOneWay(aOther, aOne);
  }
  void Heal(const std::string& aOne, const std::string& aOther)
  {
    partitioned_.erase({ aOne, aOther });
    partitioned_.erase({ aOther, aOne });
  }
  bool IsOpen(const InstanceId& aFrom, const InstanceId& aTo) const
  {
    return partitioned_.count({ aFrom.Value(), aTo.Value() }) == 0;
  }

  EventLoop& loop_;
  // Called for each message and each reply that arrives. May be unset.
  std::function<void(const Message& aMessage)> onArrival_;
  std::map<InstanceId, FakePeerNetwork*> networks_;
  std::set<std::pair<std::string, std::string>> partitioned_;
};

// The hub must outlive its networks. Callbacks posted to the loop look up a
// network by id, since it may have been destroyed.
class FakePeerNetwork final : public PeerNetwork
{
public:
  FakePeerNetwork(FakePeerHub& aHub, PeerIdentity aSelf)
    : hub_(aHub)
    , self_(std::move(aSelf))
  {
    hub_.networks_[self_.instance_] = this;
  }
  ~FakePeerNetwork() override { hub_.networks_.erase(self_.instance_); }

  void Send(const PeerIdentity& aTo, Message aMessage) override
  {
    Deliver(aTo, std::move(aMessage), [](Message) {});
  }

  void Call(const PeerIdentity& aTo,
            Message aMessage,
            Duration aTimeout,
            std::function<void(PeerReply)> aOnReply) override
  {
    auto end =
      std::make_shared<std::function<void(PeerReply)>>(std::move(aOnReply));
    // A call ends unanswered with its network.
    const std::weak_ptr<int> alive = alive_;
    const auto finish = [alive, end](PeerReply aReply) {
      const auto callback = std::exchange(*end, nullptr);
      if (callback && !alive.expired()) {
        callback(std::move(aReply));
      }
    };
    hub_.loop_.CallAfter(aTimeout, [finish] {
      finish({ std::nullopt, "timeout" });
    });
    Deliver(aTo, std::move(aMessage), [finish](Message aReply) {
      finish({ std::move(aReply), "" });
    });
  }

  std::function<void()> OpenStream(
    const PeerIdentity& aTo,
    Message aMessage,
    Duration aReplyTimeout,
    std::function<void(PeerReply)> aOnReply) override
  {
    auto stream = std::make_shared<Stream>();
    stream->onReply_ = std::move(aOnReply);
    ArmReplyTimer(stream, aReplyTimeout);
    Deliver(
      aTo, std::move(aMessage), [this, stream, aReplyTimeout](Message aReply) {
        if (stream->onReply_) {
          hub_.loop_.CancelTimer(stream->timer_);
          ArmReplyTimer(stream, aReplyTimeout);
          const auto onReply = stream->onReply_;
          onReply({ std::move(aReply), "" });
        }
      });
    return [stream] { stream->onReply_ = nullptr; };
  }

  void ProbeOnNewConnection(const PeerIdentity& aTo,
                            Duration aTimeout,
                            std::function<void(bool)> aOnResult) override
  {
    const bool isAlive =
      IsReachable(aTo) && hub_.IsOpen(aTo.instance_, self_.instance_);
    hub_.loop_.CallAfter(
      isAlive ? Duration(0) : aTimeout,
      [isAlive, aOnResult = std::move(aOnResult)] { aOnResult(isAlive); });
  }

protected:
  void SetHandler(std::size_t aType, Handler aHandler) override
  {
    handlers_[aType] = std::move(aHandler);
  }

private:
  struct Stream
  {
    std::function<void(PeerReply)> onReply_;
    EventLoop::TimerId timer_ = 0;
  };

  void ArmReplyTimer(const std::shared_ptr<Stream>& aStream,
                     Duration aReplyTimeout)
  {
    aStream->timer_ = hub_.loop_.CallAfter(aReplyTimeout, [aStream] {
      if (const auto onReply = std::exchange(aStream->onReply_, nullptr)) {
        onReply({ std::nullopt, "timeout" });
      }
    });
  }

  bool IsReachable(const PeerIdentity& aTo) const
  {
    const auto peer = hub_.networks_.find(aTo.instance_);
    return peer != hub_.networks_.end() &&
           peer->second->self_.incarnation_ == aTo.incarnation_ &&
           hub_.IsOpen(self_.instance_, aTo.instance_);
  }

  void Deliver(const PeerIdentity& aTo, Message aMessage, Responder aOnReply)
  {
    FakePeerHub& hub = hub_;
    const PeerIdentity from = self_;
    hub.loop_.Post([&hub, from, aTo, aMessage, aOnReply] {
      const auto sender = hub.networks_.find(from.instance_);
      if (sender == hub.networks_.end() || !sender->second->IsReachable(aTo)) {
        return;
      }
      const auto& handlers = hub.networks_.at(aTo.instance_)->handlers_;
      const auto handler = handlers.find(aMessage.index());
      if (handler == handlers.end()) {
        return;
      }
      if (hub.onArrival_) {
        hub.onArrival_(aMessage);
      }
      handler->second(
        from, aMessage, [&hub, from, aTo, aOnReply](Message aReply) {
          hub.loop_.Post([&hub, from, aTo, aOnReply, aReply] {
            if (hub.networks_.count(from.instance_) != 0 &&
                hub.networks_.count(aTo.instance_) != 0 &&
                hub.IsOpen(aTo.instance_, from.instance_)) {
              if (hub.onArrival_) {
                hub.onArrival_(aReply);
              }
              aOnReply(aReply);
            }
          });
        });
    });
  }

  FakePeerHub& hub_;
  PeerIdentity self_;
  std::map<std::size_t, Handler> handlers_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace sycamoreward
