#pragma once

// The client side of a connection to one entry instance: exchanges Hello,
// matches replies to pending calls, and queues messages until the connection is
// established.

#include "base/Clock.h"
#include "membership/Member.h"
#include "peer/MessageCodec.h"
#include "peer/PeerLink.h"
#include "peer/PeerNetwork.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

class OutboundPeer : public std::enable_shared_from_this<OutboundPeer>
{
public:
  struct Callbacks
  {
    // The peer is not the expected instance; the connection is closed.
    std::function<void(const PeerIdentity& aActual)> onMismatch_;
    // A call on the established connection timed out.
    std::function<void()> onCallTimeout_;
    // The connection has closed. Only onMismatch_ may be called after this.
    std::function<void()> onClosed_;
  };

  using OnReply = std::function<void(PeerReply)>;

  // An incarnation of 0 in aExpected matches any incarnation.
  OutboundPeer(EventLoop& aLoop,
               PeerIdentity aExpected,
               std::shared_ptr<LinkTraffic> aTraffic,
               Callbacks aCallbacks);
  ~OutboundPeer();
  OutboundPeer(const OutboundPeer&) = delete;
  OutboundPeer& operator=(const OutboundPeer&) = delete;

  // Connects, and closes the connection when Hello is not answered within
  // aTimeout.
  void Start(const PeerIdentity& aSelf, Duration aTimeout);

  // The identity from Hello once received, before that the expected one.
  const PeerIdentity& Identity() const { return identity_; }

  void Send(const Message& aMessage);

  // Sends aMessage and waits for its reply. aOnReply is called exactly once,
  // after Call has returned.
  void Call(const Message& aMessage, Duration aTimeout, OnReply aOnReply);

  // Sends aMessage and calls aOnReply for each reply. The last call has an
  // error: the connection closed or no reply arrived for aReplyTimeout. Returns
  // the call id for EndStream.
  std::uint64_t OpenStream(const Message& aMessage,
                           Duration aReplyTimeout,
                           OnReply aOnReply);
  void EndStream(std::uint64_t aCallId);

  // Sends the changed identity of this instance when the connection is
  // established.
  void SendHello(const PeerIdentity& aSelf);

  bool IsEstablished() const { return isEstablished_; }
  bool HasCalls() const { return !calls_.empty(); }
  MonotonicTime LastUsed() const { return lastUsed_; }
  MonotonicTime LastReceived() const { return link_->LastReceived(); }
  void Ping() { link_->Ping(); }

  // Fails all pending calls with aReason and closes the connection.
  void Close(const std::string& aReason);

private:
  struct PendingCall
  {
    OnReply onReply_;
    EventLoop::TimerId timer_ = 0;
    // Maximum time between the replies of a stream; 0 for a single reply.
    Duration replyTimeout_{ 0 };
  };

  std::uint64_t AddCall(const Message& aMessage,
                        Duration aTimeout,
                        Duration aReplyTimeout,
                        OnReply aOnReply);
  void Write(const Message& aMessage, std::uint64_t aCallId);
  void OnOpen(const PeerIdentity& aSelf);
  void OnFrame(const std::string& aBytes);
  void OnHello(const Hello& aHello);
  void OnReplyFrame(std::uint64_t aCallId, Message aMessage);
  void OnTimeout(std::uint64_t aCallId);
  EventLoop::TimerId StartTimer(std::uint64_t aCallId, Duration aTimeout);

  EventLoop& loop_;
  PeerIdentity identity_;
  std::shared_ptr<LinkTraffic> traffic_;
  Callbacks callbacks_;
  std::shared_ptr<PeerLink> link_;
  bool isEstablished_ = false;
  bool isClosed_ = false;
  std::string closeReason_;
  EventLoop::TimerId helloTimer_ = 0;
  MonotonicTime lastUsed_;
  std::uint64_t nextCallId_ = 1;
  std::map<std::uint64_t, PendingCall> calls_;
  // Encoded messages that are sent once Hello is answered.
  std::vector<std::string> queued_;
  std::size_t queuedBytes_ = 0;
};

} // namespace sycamoreward
