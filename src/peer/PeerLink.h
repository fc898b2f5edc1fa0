#pragma once

// A WebSocket connection to another entry instance over a libevent bufferevent.
// Sends and receives binary frames and does not interpret their content.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sycamoreward {

class EventLoop;

// Total traffic of all links of a network. Bytes include WebSocket framing but
// not TCP/IP headers.
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
    // The WebSocket handshake has completed.
    std::function<void()> onOpen_;
    std::function<void(std::string aFrame)> onFrame_;
    // Called at most once, and never from within SendFrame or Close.
    std::function<void(std::string aReason)> onClosed_;
  };

  virtual ~PeerLink() = default;

  // Queues a frame for sending. Returns false when the link is not open, its
  // send buffer is full or sending fails; the last two close the link.
  virtual bool SendFrame(const std::string& aFrame) = 0;

  // Sends a WebSocket ping. Any bytes received afterwards show that the peer is
  // alive.
  virtual void Ping() = 0;

  // Closes the connection without calling onClosed_.
  virtual void Close() = 0;

  // Time when bytes last arrived, or when the link was created.
  virtual MonotonicTime LastReceived() const = 0;
};

// Connects to aAddress. The link shares ownership of aTraffic.
std::shared_ptr<PeerLink>
ConnectLink(EventLoop& aLoop,
            const Address& aAddress,
            std::shared_ptr<LinkTraffic> aTraffic,
            PeerLink::Callbacks aCallbacks);

// Creates a link on an accepted socket and takes ownership of it.
std::shared_ptr<PeerLink>
AcceptLink(EventLoop& aLoop,
           int aSocket,
           std::shared_ptr<LinkTraffic> aTraffic,
           PeerLink::Callbacks aCallbacks);

} // namespace sycamoreward
