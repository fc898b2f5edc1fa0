#pragma once

// One WebSocket connection to another entry instance over a libevent
// bufferevent: binary frames in and out. Knows nothing of messages.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sycamoreward {

class EventLoop;

// Bytes and frames of all links of a network, WebSocket framing included and
// TCP/IP headers excluded.
struct LinkTraffic
{
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
  std::uint64_t framesSent_ = 0;
  std::uint64_t framesReceived_ = 0;
};

class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  struct Callbacks
  {
    // The WebSocket handshake is done.
    std::function<void()> onOpen_;
    std::function<void(std::string aFrame)> onFrame_;
    // Called once, never during a call of SendFrame or Close.
    std::function<void(std::string aReason)> onClosed_;
  };

  virtual ~PeerLink() = default;

  // False when the frame was not taken because the link is closed or its send
  // buffer is full; the link closes then.
  virtual bool SendFrame(const std::string& aFrame) = 0;

  // Asks the other side for a sign of life; any bytes received count as one.
  virtual void Ping() = 0;

  // Cuts the connection. onClosed_ is not called any more.
  virtual void Close() = 0;

  // When bytes last arrived; the start of the link before any have.
  virtual MonotonicTime LastReceived() const = 0;
};

// Connects to aAddress. aTraffic must outlive the link.
std::shared_ptr<PeerLink>
ConnectLink(EventLoop& aLoop,
            const Address& aAddress,
            std::shared_ptr<LinkTraffic> aTraffic,
            PeerLink::Callbacks aCallbacks);

// Takes over an accepted socket.
std::shared_ptr<PeerLink>
AcceptLink(EventLoop& aLoop,
           int aSocket,
           std::shared_ptr<LinkTraffic> aTraffic,
           PeerLink::Callbacks aCallbacks);

} // namespace sycamoreward
