#include "peer/WebSocketPeerNetwork.h"

#include "base/Error.h"
#include "peer/PeerNetworkState.h"
#include "telemetry/Log.h"

#include <event2/listener.h>

namespace sycamoreward {

WebSocketPeerNetwork::WebSocketPeerNetwork(EventLoop& aLoop,
                                           const PeerNetworkOptions& aOptions,
                                           const PeerIdentity& aSelf)
  : state_(std::make_shared<State>(aLoop, aOptions, aSelf))
{
  state_->Listen();
  state_->Tick();
}

WebSocketPeerNetwork::~WebSocketPeerNetwork()
{
  evconnlistener_free(state_->listener_);
  state_->loop_.CancelTimer(state_->timer_);
  // Pending calls get no reply, since their owners are being destroyed too.
  state_->reusablePeers_.clear();
  state_->outboundPeers_.clear();
  for (const auto& peer : state_->inboundPeers_) {
    peer->link_->Close();
  }
}

const Address&
WebSocketPeerNetwork::BoundAddress() const
{
  return state_->options_.listen_;
}

const PeerIdentity&
WebSocketPeerNetwork::Self() const
{
  return state_->self_;
}

void
WebSocketPeerNetwork::SetIncarnation(Incarnation aIncarnation)
{
  state_->self_.incarnation_ = aIncarnation;
  for (const auto& peer : state_->outboundPeers_) {
    peer->SendHello(state_->self_);
  }
  for (const auto& peer : state_->inboundPeers_) {
    if (peer->hasReceivedHello_) {
      peer->link_->SendFrame(
        EncodeMessage(Hello{ kProtocolVersion, state_->self_ }, 0));
    }
  }
}

void
WebSocketPeerNetwork::OnIdentityMismatch(MismatchCallback aCallback)
{
  state_->onMismatch_ = std::move(aCallback);
}

PeerNetworkStatistics
WebSocketPeerNetwork::Statistics() const
{
  PeerNetworkStatistics statistics = state_->statistics_;
  statistics.traffic_ = *state_->traffic_;
  return statistics;
}

void
WebSocketPeerNetwork::Send(const PeerIdentity& aTo, Message aMessage)
{
  const auto peer = state_->FindOrOpen(aTo);
  if (peer == nullptr) {
    return;
  }
  try {
    peer->Send(aMessage);
  } catch (const UserError& error) {
    LogFor("peer")->error("A message was dropped: {}", error.what());
  }
}

void
WebSocketPeerNetwork::Call(const PeerIdentity& aTo,
                           Message aMessage,
                           Duration aTimeout,
                           std::function<void(PeerReply)> aOnReply)
{
  const auto peer = state_->FindOrOpen(aTo);
  if (peer == nullptr) {
    state_->loop_.Post([onReply = std::move(aOnReply)] {
      onReply(PeerReply{ std::nullopt, "too many connections" });
    });
    return;
  }
  try {
    peer->Call(aMessage, aTimeout, aOnReply);
  } catch (const UserError& error) {
    state_->loop_.Post(
      [onReply = std::move(aOnReply), reason = std::string(error.what())] {
        onReply(PeerReply{ std::nullopt, reason });
      });
  }
}

std::function<void()>
WebSocketPeerNetwork::OpenStream(const PeerIdentity& aTo,
                                 Message aMessage,
                                 Duration aReplyTimeout,
                                 std::function<void(PeerReply)> aOnReply)
{
  const auto peer = state_->FindOrOpen(aTo);
  if (peer == nullptr) {
    state_->loop_.Post([onReply = std::move(aOnReply)] {
      onReply(PeerReply{ std::nullopt, "too many connections" });
    });
    return [] {};
  }
  const std::uint64_t callId =
    peer->OpenStream(aMessage, aReplyTimeout, std::move(aOnReply));
  return [weak = std::weak_ptr<OutboundPeer>(peer), callId] {
    if (const auto strong = weak.lock()) {
      strong->EndStream(callId);
    }
  };
}

void
WebSocketPeerNetwork::ProbeOnNewConnection(
  const PeerIdentity& aTo,
  Duration aTimeout,
  std::function<void(bool aIsAlive)> aOnResult)
{
  const auto peer = state_->Open(aTo, false);
  if (peer == nullptr) {
    state_->loop_.Post([onResult = std::move(aOnResult)] { onResult(false); });
    return;
  }
  peer->Call(Probe{},
             aTimeout,
             [weak = std::weak_ptr<OutboundPeer>(peer),
              onResult = std::move(aOnResult)](const PeerReply& aReply) {
               if (const auto strong = weak.lock()) {
                 strong->Close("probe done");
               }
               onResult(aReply.message_.has_value());
             });
}

void
WebSocketPeerNetwork::SetHandler(std::size_t aType, Handler aHandler)
{
  state_->handlers_.at(aType) = std::move(aHandler);
}

} // namespace sycamoreward
