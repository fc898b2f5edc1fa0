#pragma once

// One connection of a caller: reads requests and writes answers in order.

#include "http/BodyDecoder.h"
#include "http/CallerServer.h"
#include "http/Channel.h"

namespace sycamoreward::http {

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerServer& aServer, EventLoop& aLoop, int aSocket);

  void Start();
  // Closes the connection when it has been idle or slow for too long.
  void CheckTimeouts(MonotonicTime aNow);
  // Closes the connection unless a request is being read or handled.
  void CloseWhenIdle();
  // Forgets the server, which goes away.
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
  // Each returns whether it made progress.
  bool ReadHead();
  bool ReadBody();
  void Refuse(int aStatus, const std::string& aReason);
  void Dispatch();
  void HandleClosed();
  void FinishExchange();
  void Drop();

  CallerServer* server_;
  EventLoop& loop_;
  std::shared_ptr<Channel> channel_;
  State state_ = State::Idle;
  MonotonicTime stateStart_;
  std::shared_ptr<CallerExchange> exchange_;
  BodyDecoder body_;
  CallerLimits limits_;
  bool closesAfterAnswer_ = false;
  bool isReading_ = false;
};

} // namespace sycamoreward::http
