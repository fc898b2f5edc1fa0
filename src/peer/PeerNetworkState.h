#pragma once

// Internal state of WebSocketPeerNetwork: its connections, handlers and
// counters.

#include "peer/OutboundPeer.h"
#include "peer/WebSocketPeerNetwork.h"
#include "runtime/EventLoop.h"

#include <array>
#include <map>
#include <memory>
#include <set>

struct evconnlistener;

namespace sycamoreward {

// A connection opened by another instance.
struct InboundPeer
{
  std::shared_ptr<PeerLink> link_;
  PeerIdentity identity_;
  bool hasReceivedHello_ = false;
  MonotonicTime acceptedAt_;
};

struct WebSocketPeerNetwork::State
  : std::enable_shared_from_this<WebSocketPeerNetwork::State>
{
  State(EventLoop& aLoop,
        const PeerNetworkOptions& aOptions,
        const PeerIdentity& aSelf)
    : loop_(aLoop)
    , options_(aOptions)
    , self_(aSelf)
  {
  }

  void Listen();
  void Tick();
  void Accept(int aSocket);
  void OnInboundFrame(const std::shared_ptr<InboundPeer>& aPeer,
                      const std::string& aBytes);
  void Dispatch(const std::shared_ptr<InboundPeer>& aPeer, const Frame& aFrame);
  void Drop(const std::shared_ptr<InboundPeer>& aPeer);
  std::shared_ptr<OutboundPeer> Open(const PeerIdentity& aTo, bool aIsReusable);
  std::shared_ptr<OutboundPeer> FindOrOpen(const PeerIdentity& aTo);
  void Retire(const InstanceId& aInstance, const OutboundPeer* aPeer);

  EventLoop& loop_;
  PeerNetworkOptions options_;
  PeerIdentity self_;
  evconnlistener* listener_ = nullptr;
  EventLoop::TimerId timer_ = 0;
  std::shared_ptr<LinkTraffic> traffic_ = std::make_shared<LinkTraffic>();
  PeerNetworkStatistics statistics_;
  MismatchCallback onMismatch_;
  std::array<Handler, std::variant_size_v<Message>> handlers_;
  // The connection used for new messages to each instance.
  std::map<InstanceId, std::shared_ptr<OutboundPeer>> reusablePeers_;
  // All connections opened here, including those that are only kept until
  // their pending calls end.
  std::set<std::shared_ptr<OutboundPeer>> outboundPeers_;
  std::set<std::shared_ptr<InboundPeer>> inboundPeers_;
};

} // namespace sycamoreward
