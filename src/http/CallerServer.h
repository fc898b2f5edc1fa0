#pragma once

// The callers' side: accepts connections, reads one request after the other
// from each, and writes the answers.

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

// What a caller may send and how long it may take.
struct CallerLimits
{
  std::size_t headerBytes_ = 16 * 1024;
  std::size_t bodyBytes_ = 4 * 1024 * 1024;
  // From the first byte of a request to its last.
  Duration requestTimeout_ = std::chrono::seconds(3);
  // Between requests.
  Duration idleTimeout_ = std::chrono::seconds(15);
};

// One request that was read whole, and its answer.
class CallerExchange
{
public:
  struct Callbacks
  {
    // The caller has closed its connection; called at most once.
    std::function<void()> onGone_;
    // The answer's bytes written so far were sent.
    std::function<void()> onFlushed_;
  };

  RequestHead head_;
  std::string body_;
  MonotonicTime received_;

  void SetCallbacks(Callbacks aCallbacks)
  {
    callbacks_ = std::move(aCallbacks);
  }

  // Starts an answer whose body has aFraming: None, Length or Chunked. The
  // framing fields are added here.
  void Start(ResponseHead aHead, const Framing& aFraming);
  // A piece of the body.
  void Send(std::string_view aBytes);
  // Ends the answer.
  void Finish();
  // Cuts the connection, so that the answer doesn't look complete.
  void Abort();
  // A whole answer at once.
  void Answer(ResponseHead aHead, std::string_view aBody);

  bool IsStarted() const { return isStarted_; }
  // Bytes of the answer that the caller has not taken yet.
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

  // Throws InternalError when the address can't be bound.
  CallerServer(EventLoop& aLoop, const Address& aAddress, Handler aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  const Address& BoundAddress() const { return acceptor_->BoundAddress(); }

  // Takes effect with the next request of each connection.
  void SetLimits(const CallerLimits& aLimits) { limits_ = aLimits; }
  const CallerLimits& Limits() const { return limits_; }

  // From now on each answer ends its connection.
  void StartDrain() { isDraining_ = true; }
  // Accepts no more connections and closes those without a request.
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
