#pragma once

// PeerNetwork over WebSocket connections on one event loop. Calls use
// connections that this instance opened; replies return on the connection of
// their call.

#include "peer/PeerLink.h"
#include "peer/PeerNetwork.h"

#include <memory>

namespace sycamoreward {

class EventLoop;

struct PeerNetworkOptions
{
  // Port 0 lets the system choose.
  Address listen_{ "127.0.0.1", 0 };
  // Bounds of the connections opened here and accepted here, each.
  std::size_t maxConnections_ = 1024;
  // Limit of connecting and exchanging Hello.
  Duration connectTimeout_ = std::chrono::seconds(2);
  // A connection without use is closed after this time.
  Duration idleTimeout_ = std::chrono::seconds(60);
  // A connection on which nothing arrived is asked for a sign of life after the
  // first time and closed after the second.
  Duration pingAfter_ = std::chrono::seconds(5);
  Duration receiveTimeout_ = std::chrono::seconds(10);
};

// Counters since the start.
struct PeerNetworkStatistics
{
  LinkTraffic traffic_;
  std::size_t openedConnections_ = 0;
  std::size_t acceptedConnections_ = 0;
  std::uint64_t unknownMessages_ = 0;
  std::uint64_t malformedFrames_ = 0;
  std::uint64_t identityMismatches_ = 0;
};

class WebSocketPeerNetwork final : public PeerNetwork
{
public:
  // aSelf is sent in Hello; a port of 0 in its peer address is replaced by the
  // bound one. Throws InternalError when the address can't be bound.
  WebSocketPeerNetwork(EventLoop& aLoop,
                       const PeerNetworkOptions& aOptions,
                       const PeerIdentity& aSelf);
  ~WebSocketPeerNetwork() override;

  const Address& BoundAddress() const;
  const PeerIdentity& Self() const;

  // Changes the incarnation of this instance and tells the connected peers.
  void SetIncarnation(Incarnation aIncarnation);

  // Calls aCallback when an instance other than the expected one answered; the
  // message that was to be sent is dropped. The actual instance may be a later
  // start of the expected one.
  using MismatchCallback = std::function<void(const PeerIdentity& aExpected,
                                              const PeerIdentity& aActual)>;
  void OnIdentityMismatch(MismatchCallback aCallback);

  PeerNetworkStatistics Statistics() const;

  void Send(const PeerIdentity& aTo, Message aMessage) override;
  void Call(const PeerIdentity& aTo,
            Message aMessage,
            Duration aTimeout,
            std::function<void(PeerReply)> aOnReply) override;
  std::function<void()> OpenStream(
    const PeerIdentity& aTo,
    Message aMessage,
    Duration aReplyTimeout,
    std::function<void(PeerReply)> aOnReply) override;
  void ProbeOnNewConnection(
    const PeerIdentity& aTo,
    Duration aTimeout,
    std::function<void(bool aIsAlive)> aOnResult) override;

  // Opaque; defined beside the implementation.
  struct State;

private:
  void SetHandler(std::size_t aType, Handler aHandler) override;

  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
