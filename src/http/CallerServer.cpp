#include "http/CallerServer.h"

#include "http/CallerConnection.h"
#include "runtime/EventLoop.h"

namespace sycamoreward::http {

namespace {

// Interval at which the timeouts of all connections are checked.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);

} // namespace

CallerServer::CallerServer(EventLoop& aLoop,
                           const Address& aAddress,
                           Handler aHandler)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
  , acceptor_(std::make_unique<Acceptor>(aLoop, aAddress, [this](int aSocket) {
    const auto connection =
      std::make_shared<CallerConnection>(*this, loop_, aSocket);
    connections_.insert(connection);
    connection->Start();
  }))
{
  CheckConnectionTimeouts();
}

CallerServer::~CallerServer()
{
  loop_.CancelTimer(timer_);
  for (const auto& connection : connections_) {
    connection->Detach();
  }
}

void
CallerServer::CheckConnectionTimeouts()
{
  const MonotonicTime now = loop_.GetClock().Now();
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->CheckTimeouts(now);
  }
  timer_ = loop_.CallAfter(kTimeoutCheckInterval,
                           [this] { CheckConnectionTimeouts(); });
}

void
CallerServer::StopAccepting()
{
  acceptor_.reset();
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->CloseWhenIdle();
  }
}

} // namespace sycamoreward::http
