#pragma once

// HTTP server for callers. Accepts connections, reads the requests of each one
// in turn and writes their answers. What all callers of a process hold together
// is bounded by ClientAccounts.

#include "base/Clock.h"
#include "http/Acceptor.h"
#include "http/Head.h"
#include "limits/ClientAccounts.h"

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
  // Copies of the body that the process makes while it handles a request.
  std::size_t bodyCopies_ = 1;
  // Maximum time from the first to the last byte of a request.
  Duration requestTimeout_ = std::chrono::seconds(3);
  // Maximum time between two requests of a connection.
  Duration idleTimeout_ = std::chrono::seconds(15);
};

// What a port is for.
enum class PortUse
{
  // Callers' requests, which may be in progress for seconds.
  Requests,
  // Addresses, readiness, metrics and operators' calls. Some connections are
  // left to such ports when all others have requests in progress.
  Control
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

  // Counts the request for aWorkspace. Returns false if the workspace holds too
  // much already; the request should be refused then.
  bool MayRunFor(const WorkspaceId& aWorkspace);
  // Counts further memory of the request. Returns false if it does not fit
  // beside what all callers hold; the request should be refused then.
  bool HoldMore(std::size_t aBytes);
  // Counts bytes of the answer that are held until more of it arrives.
  void HoldAnswer(std::size_t aBytes);
  // Accounts for the request as long as the returned object is kept. Needed if
  // parts of the request outlive this object.
  std::shared_ptr<const ClientCharge> Charge() const { return charge_; }

private:
  friend class CallerConnection;
  std::weak_ptr<CallerConnection> connection_;
  std::shared_ptr<ClientAccounts> accounts_;
  std::shared_ptr<ClientCharge> charge_;
  std::size_t heldAnswer_ = 0;
  Callbacks callbacks_;
  Framing framing_;
  bool isStarted_ = false;
  bool isHeadRequest_ = false;
};

class CallerServer
{
public:
  using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

  // aHandler is called for each completely received request. aAccounts is
  // shared by all ports of the process; without it, nothing bounds what all
  // callers hold together. Throws InternalError when the address can't be
  // bound.
  CallerServer(EventLoop& aLoop,
               const Address& aAddress,
               Handler aHandler,
               std::shared_ptr<ClientAccounts> aAccounts = nullptr,
               PortUse aUse = PortUse::Requests);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  const Address& BoundAddress() const { return acceptor_->BoundAddress(); }

  // Sets the limits; they apply from the next request of each connection.
  void SetLimits(const CallerLimits& aLimits) { limits_ = aLimits; }
  const CallerLimits& Limits() const { return limits_; }

  // Closes each connection after its next answer.
  void StartDrain() { isDraining_ = true; }
  // Stops accepting connections.
  void StopListening() { acceptor_.reset(); }
  // Stops accepting connections and closes the idle ones.
  void StopAccepting();

  bool IsDraining() const { return isDraining_; }
  // Connections without those that are about to end.
  std::size_t ConnectionCount() const;
  // Connections with a complete answer that was not handed to the system yet.
  std::size_t UnsentAnswers() const;

private:
  friend class CallerConnection;
  void Accept(int aSocket);
  void CheckConnectionTimeouts();
  // Connections that must stay free when this port accepts one.
  std::size_t ConnectionReserve() const;

  EventLoop& loop_;
  Handler handler_;
  std::shared_ptr<ClientAccounts> accounts_;
  PortUse use_;
  CallerLimits limits_;
  bool isDraining_ = false;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  std::unique_ptr<Acceptor> acceptor_;
  std::uint64_t timer_ = 0;
};

} // namespace sycamoreward::http
