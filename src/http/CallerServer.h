#pragma once

// HTTP server for callers. Accepts connections, reads the requests of each one
// in turn and writes their answers.

#include "base/Clock.h"
#include "http/Acceptor.h"
#include "http/Head.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::http {

class CallerConnection;

// Limits on the size and duration of requests.
struct CallerLimits
{
  std::size_t headerBytes_ = 16 * 1024;
  std::size_t bodyBytes_ = 4 * 1024 * 1024;
  // Maximum time from the first to the last byte of a request.
  Duration requestTimeout_ = std::chrono::seconds(3);
  // Maximum time between two requests of a connection.
  Duration idleTimeout_ = std::chrono::seconds(15);
};

// One completely received request and its answer.
class CallerExchange
{
public:
  struct Callbacks
  {
    // The caller has closed its connection; called at most once.
    std::function<void()> onGone_;
    // All bytes of the answer written so far were handed to the system.
    std::function<void()> onFlushed_;
  };

  RequestHead head_;
  std::string body_;
  MonotonicTime received_;

  void SetCallbacks(Callbacks aCallbacks)
  {
    callbacks_ = std::move(aCallbacks);
  }

  // Sends the head of an answer whose body has aFraming: None, Length or
  // Chunked. Adds the header fields that describe the framing.
  void Start(ResponseHead aHead, const Framing& aFraming);
  // Sends a piece of the body.
  void Send(std::string_view aBytes);
  // Ends the answer.
  void Finish();
  // Resets the connection, so that the caller does not take the answer for
  // complete.
  void Abort();
  // Sends a complete answer.
  void Answer(ResponseHead aHead, std::string_view aBody);

  bool IsStarted() const { return isStarted_; }
  // Bytes of the answer that were not handed to the system yet.
  std::size_t Unsent() const;

private:
  friend class CallerConnection;
  std::weak_ptr<CallerConnection> connection_;
  Callbacks callbacks_;
  Framing framing_;
  bool isStarted_ = false;
  bool isHeadRequest_ = false;
};

class CallerServer
{
public:
  using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

  // aHandler is called for each completely received request. Throws
  // InternalError when the address can't be bound.
  CallerServer(EventLoop& aLoop, const Address& aAddress, Handler aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  const Address& BoundAddress() const { return acceptor_->BoundAddress(); }

  // Sets the limits; they apply from the next request of each connection.
  void SetLimits(const CallerLimits& aLimits) { limits_ = aLimits; }
  const CallerLimits& Limits() const { return limits_; }

  // Closes each connection after its next answer.
  void StartDrain() { isDraining_ = true; }
  // Stops accepting connections and closes the idle ones.
  void StopAccepting();

  bool IsDraining() const { return isDraining_; }
  std::size_t ConnectionCount() const { return connections_.size(); }

private:
  friend class CallerConnection;
  void CheckConnectionTimeouts();

  EventLoop& loop_;
  Handler handler_;
  CallerLimits limits_;
  bool isDraining_ = false;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  std::unique_ptr<Acceptor> acceptor_;
  std::uint64_t timer_ = 0;
};

} // namespace sycamoreward::http
