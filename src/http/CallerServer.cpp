#include "http/CallerServer.h"

#include "http/CallerConnection.h"
#include "runtime/EventLoop.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace sycamoreward::http {

namespace {

// Interval at which the timeouts of all connections are checked.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);

ClientBounds
Unbounded()
{
  constexpr std::size_t kUnbounded =
    std::numeric_limits<std::size_t>::max() / 4;
  return { kUnbounded, 0, kUnbounded, kUnbounded, kUnbounded };
}

} // namespace

CallerServer::CallerServer(EventLoop& aLoop,
                           const Address& aAddress,
                           Handler aHandler,
                           std::shared_ptr<ClientAccounts> aAccounts,
                           PortUse aUse)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
  , accounts_(
      aAccounts != nullptr
        ? std::move(aAccounts)
        : std::make_shared<ClientAccounts>(aLoop.GetClock(), Unbounded()))
  , use_(aUse)
  , acceptor_(std::make_unique<Acceptor>(
      aLoop,
      aAddress,
      [this](int aSocket) { Accept(aSocket); },
      [this] { accounts_->Count(ClientLimit::Accept); }))
{
  CheckConnectionTimeouts();
}

CallerServer::~CallerServer()
{
  loop_.CancelTimer(timer_);
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const auto& connection : connections) {
    connection->Detach();
  }
}

std::size_t
CallerServer::ConnectionReserve() const
{
  const std::size_t reserve = accounts_->Bounds().refusalReserve_;
  return use_ == PortUse::Requests ? 2 * reserve : reserve;
}

void
CallerServer::Accept(int aSocket)
{
  const bool isRoom = accounts_->MakeConnectionRoom(ConnectionReserve());
  const bool canRefuse = accounts_->HasRefusalRoom();
  const auto connection =
    std::make_shared<CallerConnection>(*this, loop_, aSocket);
  connections_.insert(connection);
  connection->Start();
  if (!isRoom && canRefuse) {
    connection->RefuseOverload();
  } else if (!isRoom) {
    connection->Yield(ClientLimit::Connections);
  }
}

void
CallerServer::CheckConnectionTimeouts()
{
  const MonotonicTime now = loop_.GetClock().Now();
  std::vector<std::shared_ptr<CallerConnection>> expired;
  std::copy_if(
    connections_.begin(),
    connections_.end(),
    std::back_inserter(expired),
    [now](const auto& aConnection) { return aConnection->IsExpired(now); });
  for (const auto& connection : expired) {
    connection->Expire();
  }
  timer_ = loop_.CallAfter(kTimeoutCheckInterval,
                           [this] { CheckConnectionTimeouts(); });
}

void
CallerServer::StopAccepting()
{
  StopListening();
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->CloseWhenIdle();
  }
}

std::size_t
CallerServer::ConnectionCount() const
{
  return std::size_t(std::count_if(
    connections_.begin(), connections_.end(), [](const auto& aConnection) {
      return !aConnection->IsClosing();
    }));
}

std::size_t
CallerServer::UnsentAnswers() const
{
  return std::size_t(std::count_if(
    connections_.begin(), connections_.end(), [](const auto& aConnection) {
      return aConnection->HasUnsentAnswer();
    }));
}

} // namespace sycamoreward::http
