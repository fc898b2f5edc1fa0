#include "peer/PeerNetworkState.h"

#include "base/Error.h"
#include "peer/SocketAddress.h"
#include "telemetry/Log.h"

#include <event2/listener.h>
#include <unistd.h>

namespace sycamoreward {

namespace {

constexpr Duration kTickInterval = std::chrono::seconds(1);
// An accepted connection is closed when nothing has arrived for this time. The
// side that opened the connection pings more often while it is in use.
constexpr Duration kInboundReceiveTimeout = std::chrono::seconds(90);

} // namespace

void
WebSocketPeerNetwork::State::Listen()
{
  const Address& address = options_.listen_;
  sockaddr_storage storage{};
  const socklen_t length = FillSocketAddress(address, storage);
  listener_ = evconnlistener_new_bind(
    loop_.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<State*>(aSelf)->Accept(aSocket);
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
    -1,
    reinterpret_cast<sockaddr*>(&storage),
    int(length));
  if (listener_ == nullptr) {
    throw InternalError("listen for peers",
                        ToString(address),
                        "Can't listen on " + ToString(address) + ".");
  }
  options_.listen_.port_ = BoundPort(evconnlistener_get_fd(listener_));
  if (self_.peerAddress_.port_ == 0) {
    self_.peerAddress_ = options_.listen_;
  }
}

void
WebSocketPeerNetwork::State::Tick()
{
  timer_ = loop_.CallAfter(kTickInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Tick();
    }
  });
  const MonotonicTime now = loop_.GetClock().Now();
  const auto opened = outboundPeers_;
  for (const auto& peer : opened) {
    if (!peer->IsEstablished()) {
      continue;
    }
    const Duration sinceReceived = now - peer->LastReceived();
    const auto shared = reusablePeers_.find(peer->Identity().instance_);
    const bool isRetired =
      shared == reusablePeers_.end() || shared->second != peer;
    if (!peer->HasCalls() &&
        (isRetired || now - peer->LastUsed() > options_.idleTimeout_)) {
      peer->Close("idle");
    } else if (sinceReceived > options_.receiveTimeout_) {
      peer->Close("silent");
    } else if (sinceReceived > options_.pingAfter_) {
      peer->Ping();
    }
  }
  const auto accepted = inboundPeers_;
  for (const auto& peer : accepted) {
    // Before Hello the timeout starts when the connection is accepted, so that
    // an unknown peer cannot keep it open by sending one byte a second.
    const bool isTimedOut =
      peer->hasReceivedHello_
        ? now - peer->link_->LastReceived() > kInboundReceiveTimeout
        : now - peer->acceptedAt_ > options_.connectTimeout_;
    if (isTimedOut) {
      Drop(peer);
    }
  }
}

void
WebSocketPeerNetwork::State::Accept(int aSocket)
{
  if (inboundPeers_.size() >= options_.maxConnections_) {
    close(aSocket);
    return;
  }
  const auto peer = std::make_shared<InboundPeer>();
  peer->acceptedAt_ = loop_.GetClock().Now();
  const std::weak_ptr<State> weakState = weak_from_this();
  const std::weak_ptr<InboundPeer> weakPeer = peer;
  PeerLink::Callbacks callbacks;
  callbacks.onFrame_ = [weakState, weakPeer](const std::string& aBytes) {
    const auto state = weakState.lock();
    const auto strongPeer = weakPeer.lock();
    if (state != nullptr && strongPeer != nullptr) {
      state->OnInboundFrame(strongPeer, aBytes);
    }
  };
  callbacks.onClosed_ = [weakState, weakPeer](const std::string& /*aReason*/) {
    const auto state = weakState.lock();
    const auto strongPeer = weakPeer.lock();
    if (state != nullptr && strongPeer != nullptr) {
      state->Drop(strongPeer);
    }
  };
  peer->link_ = AcceptLink(loop_, aSocket, traffic_, std::move(callbacks));
  inboundPeers_.insert(peer);
  ++statistics_.acceptedConnections_;
}

void
WebSocketPeerNetwork::State::Drop(const std::shared_ptr<InboundPeer>& aPeer)
{
  aPeer->link_->Close();
  inboundPeers_.erase(aPeer);
}

void
WebSocketPeerNetwork::State::OnInboundFrame(
  const std::shared_ptr<InboundPeer>& aPeer,
  const std::string& aBytes)
{
  try {
    const Frame frame = DecodeMessage(aBytes);
    if (!frame.message_.has_value()) {
      ++statistics_.unknownMessages_;
    } else if (const auto* hello = std::get_if<Hello>(&*frame.message_)) {
      if (!aPeer->hasReceivedHello_) {
        aPeer->identity_ = hello->identity_;
        aPeer->hasReceivedHello_ = true;
        aPeer->link_->SendFrame(
          EncodeMessage(Hello{ kProtocolVersion, self_ }, 0));
      } else if (hello->identity_.instance_ == aPeer->identity_.instance_) {
        aPeer->identity_ = hello->identity_;
      }
    } else if (!aPeer->hasReceivedHello_) {
      ++statistics_.malformedFrames_;
      Drop(aPeer);
    } else {
      Dispatch(aPeer, frame);
    }
  } catch (const UserError& error) {
    ++statistics_.malformedFrames_;
    LogFor("peer")->warn("{} sent a malformed frame: {}",
                         aPeer->identity_.instance_.Value(),
                         error.what());
    Drop(aPeer);
  }
}

void
WebSocketPeerNetwork::State::Dispatch(const std::shared_ptr<InboundPeer>& aPeer,
                                      const Frame& aFrame)
{
  const std::weak_ptr<InboundPeer> weak = aPeer;
  const Responder respond = [weak,
                             callId = aFrame.callId_](const Message& aReply) {
    const auto peer = weak.lock();
    if (peer == nullptr || callId == 0) {
      return;
    }
    try {
      peer->link_->SendFrame(EncodeMessage(aReply, callId));
    } catch (const UserError& error) {
      LogFor("peer")->error("A reply was dropped: {}", error.what());
    }
  };
  if (std::holds_alternative<Probe>(*aFrame.message_)) {
    respond(ProbeReply{});
    return;
  }
  const Handler handler = handlers_[aFrame.message_->index()];
  if (!handler) {
    ++statistics_.unknownMessages_;
    return;
  }
  try {
    handler(aPeer->identity_, *aFrame.message_, respond);
  } catch (const std::exception& error) {
    LogFor("peer")->error(
      "The handler of {} failed: {}", aFrame.type_, error.what());
  }
}

std::shared_ptr<OutboundPeer>
WebSocketPeerNetwork::State::Open(const PeerIdentity& aTo, bool aIsReusable)
{
  if (outboundPeers_.size() >= options_.maxConnections_) {
    return nullptr;
  }
  const std::weak_ptr<State> weak = weak_from_this();
  auto peerHandle = std::make_shared<std::weak_ptr<OutboundPeer>>();
  const InstanceId instance = aTo.instance_;
  OutboundPeer::Callbacks callbacks;
  callbacks.onMismatch_ = [weak, aTo](const PeerIdentity& aActual) {
    const auto state = weak.lock();
    if (state == nullptr) {
      return;
    }
    ++state->statistics_.identityMismatches_;
    if (state->onMismatch_) {
      state->onMismatch_(aTo, aActual);
    }
  };
  callbacks.onCallTimeout_ = [weak, peerHandle, instance] {
    const auto peer = peerHandle->lock();
    if (const auto state = weak.lock()) {
      state->Retire(instance, peer.get());
    }
  };
  callbacks.onClosed_ = [weak, peerHandle, instance] {
    const auto peer = peerHandle->lock();
    if (const auto state = weak.lock()) {
      state->Retire(instance, peer.get());
      state->outboundPeers_.erase(peer);
    }
  };
  auto peer =
    std::make_shared<OutboundPeer>(loop_, aTo, traffic_, std::move(callbacks));
  *peerHandle = peer;
  outboundPeers_.insert(peer);
  ++statistics_.openedConnections_;
  if (aIsReusable) {
    reusablePeers_[instance] = peer;
  }
  peer->Start(self_, options_.connectTimeout_);
  return peer;
}

std::shared_ptr<OutboundPeer>
WebSocketPeerNetwork::State::FindOrOpen(const PeerIdentity& aTo)
{
  const auto found = reusablePeers_.find(aTo.instance_);
  if (found == reusablePeers_.end()) {
    return Open(aTo, true);
  }
  auto peer = found->second;
  const Incarnation known = peer->Identity().incarnation_;
  if (aTo.incarnation_.Value() == 0 || known == aTo.incarnation_) {
    return peer;
  }
  // aTo is another incarnation than the connected one. A new connection shows
  // which incarnation is running.
  Retire(aTo.instance_, peer.get());
  return Open(aTo, true);
}

// Stops using a connection for new messages. Tick closes the connection when
// its pending calls have ended.
void
WebSocketPeerNetwork::State::Retire(const InstanceId& aInstance,
                                    const OutboundPeer* aPeer)
{
  const auto found = reusablePeers_.find(aInstance);
  if (found != reusablePeers_.end() && found->second.get() == aPeer) {
    reusablePeers_.erase(found);
  }
}

} // namespace sycamoreward
