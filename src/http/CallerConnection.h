#pragma once

// One connection of a caller. Reads requests and writes their answers in order.
// Until a request is complete, the connection yields when the callers of the
// process hold too much together.

#include "http/BodyDecoder.h"
#include "http/CallerServer.h"
#include "http/Channel.h"

namespace sycamoreward::http {

class CallerConnection final
  : public std::enable_shared_from_this<CallerConnection>
  , public ClientHolder
{
public:
  CallerConnection(CallerServer& aServer, EventLoop& aLoop, int aSocket);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Registers the callbacks of the connection. Must be called once, after the
  // object is owned by a shared_ptr.
  void Start();
  // Whether the connection exceeds the idle or the request timeout.
  bool IsExpired(MonotonicTime aNow) const;
  // Closes the connection after a timeout.
  void Expire();
  // Closes the connection if no request is being read or handled.
  void CloseWhenIdle();
  // Refuses a connection beyond the bound for all callers.
  void RefuseOverload();
  // Drops the connection because the server is being destroyed.
  void Detach();

  // Whether the connection ends without anything left to send.
  bool IsClosing() const;
  bool HasUnsentAnswer() const;

  ClientHolding Holding(MonotonicTime aNow) const override;
  void Yield(ClientLimit aLimit) override;

private:
  friend class CallerExchange;

  enum class State
  {
    Idle,
    Head,
    Body,
    Handling,
    // The last answer was written; the connection ends soon.
    Closing,
    Closed
  };

  void ReadRequests();
  // These return whether they made progress.
  bool ReadHead();
  bool ReadBody();
  // Pauses reading if the answers so far were not read far enough for another
  // request. Returns whether it did.
  bool PauseWhileAnswersWait();
  // Counts the bytes that the connection holds beside its request.
  void UpdateCharge();
  // Counts all that the connection holds, and makes room for it if necessary.
  void Account();
  // Enlarges the buffer of the body for aBytes more, by less than doubling it.
  void ReserveBody(std::size_t aBytes);
  // Answers with an error status and closes the connection.
  void Refuse(int aStatus, const std::string& aReason);
  void Dispatch();
  void HandleClosed();
  void FinishExchange();
  // Closes the connection after the written bytes were sent.
  void Close();
  void Drop();

  CallerServer* server_;
  EventLoop& loop_;
  std::shared_ptr<ClientAccounts> accounts_;
  // Bytes that were received and not consumed, and unsent bytes of the last
  // answer.
  ClientCharge charge_;
  std::shared_ptr<Channel> channel_;
  State state_ = State::Idle;
  // When the connection became idle, or the first byte of the request arrived.
  MonotonicTime stateStart_;
  std::shared_ptr<CallerExchange> exchange_;
  BodyDecoder body_;
  Framing framing_;
  CallerLimits limits_;
  // Bytes at the start of an incomplete head that have no end of it.
  std::size_t searchedBytes_ = 0;
  bool hasAnswered_ = false;
  bool closesAfterAnswer_ = false;
  bool isReading_ = false;
};

} // namespace sycamoreward::http
