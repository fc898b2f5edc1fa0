#pragma once

// One connection of a caller. Reads requests and writes their answers in order.

#include "http/BodyDecoder.h"
#include "http/CallerServer.h"
#include "http/Channel.h"

namespace sycamoreward::http {

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerServer& aServer, EventLoop& aLoop, int aSocket);

  // Registers the callbacks of the connection. Must be called once, after the
  // object is owned by a shared_ptr.
  void Start();
  // Closes the connection if it exceeded the idle or the request timeout.
  void CheckTimeouts(MonotonicTime aNow);
  // Closes the connection if no request is being read or handled.
  void CloseWhenIdle();
  // Drops the connection because the server is being destroyed.
  void Detach();

private:
  friend class CallerExchange;

  enum class State
  {
    Idle,
    Head,
    Body,
    Handling,
    Closed
  };

  void ReadRequests();
  // These return whether they made progress.
  bool ReadHead();
  bool ReadBody();
  // Answers with an error status and closes the connection.
  void Refuse(int aStatus, const std::string& aReason);
  void Dispatch();
  void HandleClosed();
  void FinishExchange();
  void Drop();

  CallerServer* server_;
  EventLoop& loop_;
  std::shared_ptr<Channel> channel_;
  State state_ = State::Idle;
  // When the connection became idle, or the first byte of the request arrived.
  MonotonicTime stateStart_;
  std::shared_ptr<CallerExchange> exchange_;
  BodyDecoder body_;
  CallerLimits limits_;
  bool closesAfterAnswer_ = false;
  bool isReading_ = false;
};

} // namespace sycamoreward::http
