#pragma once

// Interface for exchanging messages between entry instances.

#include "membership/Member.h"
#include "peer/Messages.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamoreward {

// The result of a call to a peer.
struct PeerReply
{
  // Empty when no reply arrived.
  std::optional<Message> message_;
  // The reason why no reply arrived, such as "timeout" or "not connected".
  std::string error_;
};

class PeerNetwork
{
public:
  virtual ~PeerNetwork() = default;

  // Sends a message that expects no reply, connecting when needed. The message
  // is dropped when the peer is unreachable or its identity differs from aTo.
  virtual void Send(const PeerIdentity& aTo, Message aMessage) = 0;

  // Sends a message and calls aOnReply once, with the reply or an error.
  virtual void Call(const PeerIdentity& aTo,
                    Message aMessage,
                    Duration aTimeout,
                    std::function<void(PeerReply)> aOnReply) = 0;

  // Sends a reply to a received message. It may be called after the handler has
  // returned, and more than once for a stream (AnswerPart).
  using Responder = std::function<void(Message)>;

  // Handles messages of type T. Each type has at most one handler.
  using Handler = std::function<void(const PeerIdentity& aFrom,
                                     const Message& aMessage,
                                     const Responder& aRespond)>;
  template<typename T>
  void OnMessage(Handler aHandler)
  {
    SetHandler(Message(T()).index(), std::move(aHandler));
  }

  // Opens a stream of replies, such as the AnswerParts of Follow. aOnReply is
  // called for each, and last with an error when the connection ends or nothing
  // arrives for aReplyTimeout. Returns a function that ends the stream.
  virtual std::function<void()> OpenStream(
    const PeerIdentity& aTo,
    Message aMessage,
    Duration aReplyTimeout,
    std::function<void(PeerReply)> aOnReply) = 0;

  // Sends a Probe on a new connection and reports whether a reply arrived
  // within aTimeout.
  virtual void ProbeOnNewConnection(
    const PeerIdentity& aTo,
    Duration aTimeout,
    std::function<void(bool aIsAlive)> aOnResult) = 0;

protected:
  virtual void SetHandler(std::size_t aType, Handler aHandler) = 0;
};

} // namespace sycamoreward
