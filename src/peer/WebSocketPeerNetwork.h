#pragma once

// PeerNetwork over WebSocket connections on one event loop. Calls use
// connections opened by this instance; each reply is sent on the connection of
// its call.

#include "peer/PeerLink.h"
#include "peer/PeerNetwork.h"

#include <memory>

namespace sycamoreward {

class EventLoop;

struct PeerNetworkOptions
{
  // With port 0, the system chooses a free port.
  Address listen_{ "127.0.0.1", 0 };
  // Maximum number of connections opened by this instance, and of connections
  // accepted by it.
  std::size_t maxConnections_ = 1024;
  // Timeout for connecting and exchanging Hello.
  Duration connectTimeout_ = std::chrono::seconds(2);
  // An unused connection is closed after this time.
  Duration idleTimeout_ = std::chrono::seconds(60);
  // A connection on which nothing arrives is pinged after pingAfter_ and closed
  // after receiveTimeout_.
  Duration pingAfter_ = std::chrono::seconds(5);
  Duration receiveTimeout_ = std::chrono::seconds(10);
};

// Counters since the network was created.
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
  // aSelf is sent in Hello. When the port of its peer address is 0, the bound
  // address is used. Throws InternalError when the address cannot be bound.
  WebSocketPeerNetwork(EventLoop& aLoop,
                       const PeerNetworkOptions& aOptions,
                       const PeerIdentity& aSelf);
  ~WebSocketPeerNetwork() override;

  const Address& BoundAddress() const;
  const PeerIdentity& Self() const;

  // Changes the incarnation of this instance and sends it to the connected
  // peers.
  void SetIncarnation(Incarnation aIncarnation);

  // Calls aCallback when an instance other than the expected one answers; the
  // queued message is dropped. The actual instance may be a later incarnation
  // of the expected one.
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

  // Defined in PeerNetworkState.h.
  struct State;

private:
  void SetHandler(std::size_t aType, Handler aHandler) override;

  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
