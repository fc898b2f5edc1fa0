#pragma once

// Connections between entry instances, as the other packages see them.

#include "membership/Member.h"
#include "peer/Messages.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamoreward {

// How a call to a peer ended.
struct PeerReply
{
  // Empty when no reply came.
  std::optional<Message> message_;
  // Why no reply came, such as "timeout" or "not connected".
  std::string error_;
};

class PeerNetwork
{
public:
  virtual ~PeerNetwork() = default;

  // Sends without a reply. Connects when needed; dropped when the peer can't be
  // reached or its identity differs from aTo.
  virtual void Send(const PeerIdentity& aTo, Message aMessage) = 0;

  // Sends and waits for the reply to this message. aOnReply is called once.
  virtual void Call(const PeerIdentity& aTo,
                    Message aMessage,
                    Duration aTimeout,
                    std::function<void(PeerReply)> aOnReply) = 0;

  // Answers a received message. Replies may be sent later and more than once
  // (AnswerPart).
  using Responder = std::function<void(Message)>;

  // Handles messages of the type of alternative T. One handler for each type.
  using Handler = std::function<void(const PeerIdentity& aFrom,
                                     const Message& aMessage,
                                     const Responder& aRespond)>;
  template<typename T>
  void OnMessage(Handler aHandler)
  {
    SetHandler(Message(T()).index(), std::move(aHandler));
  }

  // Opens a stream of replies, such as Follow with its AnswerParts. aOnReply is
  // called for each, and last with an error when the connection ends or nothing
  // arrives for aReplyTimeout. Returns a function that ends the stream.
  virtual std::function<void()> OpenStream(
    const PeerIdentity& aTo,
    Message aMessage,
    Duration aReplyTimeout,
    std::function<void(PeerReply)> aOnReply) = 0;

  // Asks a peer for a ProbeReply on a new connection.
  virtual void ProbeOnNewConnection(
    const PeerIdentity& aTo,
    Duration aTimeout,
    std::function<void(bool aIsAlive)> aOnResult) = 0;

protected:
  virtual void SetHandler(std::size_t aType, Handler aHandler) = 0;
};

} // namespace sycamoreward
