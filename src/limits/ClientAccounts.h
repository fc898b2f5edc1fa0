#pragma once

// Keeps account of what all clients of a process hold, and lets connections
// yield when a bound is reached. All ports of a process share one object.

#include "base/Clock.h"
#include "base/Ids.h"
#include "limits/ClientBounds.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

namespace sycamoreward {

// Why a connection yields or a client is refused.
enum class ClientLimit
{
  // All clients hold too many bytes.
  HeldBytes,
  // A workspace holds too many bytes.
  WorkspaceBytes,
  // There are too many connections.
  Connections,
  // The system has no descriptors or no memory for another connection.
  Accept
};

constexpr std::size_t kClientLimits = 4;

const char*
ToText(ClientLimit aLimit);

// A connection of a client.
class ClientHolder
{
public:
  virtual ~ClientHolder() = default;
  virtual ClientHolding Holding(MonotonicTime aNow) const = 0;
  // Ends the connection, which holds no bytes afterwards. After
  // ClientLimit::Connections it has no socket either.
  virtual void Yield(ClientLimit aLimit) = 0;
};

class ClientAccounts
{
public:
  // Called when a limit has taken effect, at most once a second for each limit.
  // aCount is the number of clients that were affected since the start.
  using Report = std::function<void(ClientLimit aLimit, std::uint64_t aCount)>;

  // aClock must outlive this object.
  ClientAccounts(const Clock& aClock, const ClientBounds& aBounds);
  ClientAccounts(const ClientAccounts&) = delete;
  ClientAccounts& operator=(const ClientAccounts&) = delete;

  void OnLimit(Report aReport) { report_ = std::move(aReport); }

  // Register a connection, and remove it when its socket was closed.
  void Add(ClientHolder& aHolder) { holders_.insert(&aHolder); }
  void Remove(ClientHolder& aHolder) { holders_.erase(&aHolder); }

  // Makes room for another connection by letting others yield. Returns false if
  // the client has to be refused, because the connections that may not yield
  // leave none but aReserve.
  bool MakeConnectionRoom(std::size_t aReserve);
  // Whether another connection may be kept open for a moment to refuse it.
  bool HasRefusalRoom() const { return Connections() < bounds_.connections_; }

  // Called when aHolder holds more bytes than before. Lets connections yield
  // until it fits. Returns false if aHolder itself was one of them.
  bool MakeByteRoom(ClientHolder& aHolder);

  // Whether all clients hold as much as they may.
  bool IsFull() const { return bytes_ >= bounds_.bytes_; }

  // Whether a request that holds aBytes, which are counted already, fits.
  bool Fits(std::size_t aBytes) const
  {
    return FitsBytes(aBytes, bytes_, bounds_);
  }

  // Whether a request of aBytes could fit if all connections yielded that may.
  bool CouldFit(std::size_t aBytes) const;

  // Whether aWorkspace may hold another request of aBytes, which are counted
  // already. Counts a refusal otherwise.
  bool MayRun(const WorkspaceId& aWorkspace, std::size_t aBytes);

  // Counts a client that was affected by a limit.
  void Count(ClientLimit aLimit);

  const ClientBounds& Bounds() const { return bounds_; }
  std::size_t Connections() const { return holders_.size(); }
  std::size_t HeldBytes() const { return bytes_; }
  std::uint64_t Affected(ClientLimit aLimit) const;

private:
  friend class ClientCharge;

  struct Effect
  {
    std::uint64_t count_ = 0;
    MonotonicTime reported_;
  };

  // Connections that may yield, costliest first.
  std::vector<ClientHolder*> ByCost() const;

  const Clock& clock_;
  ClientBounds bounds_;
  std::unordered_set<ClientHolder*> holders_;
  std::size_t bytes_ = 0;
  std::map<WorkspaceId, std::size_t> workspaceBytes_;
  std::array<Effect, kClientLimits> effects_;
  Report report_;
};

// Bytes held for one request or connection, which are returned with the object.
class ClientCharge
{
public:
  // A charge without an account counts nothing.
  ClientCharge() = default;
  explicit ClientCharge(std::shared_ptr<ClientAccounts> aAccounts);
  ~ClientCharge();
  ClientCharge(const ClientCharge&) = delete;
  ClientCharge& operator=(const ClientCharge&) = delete;

  void Set(std::size_t aBytes);
  // Counts the bytes for aWorkspace too.
  void SetWorkspace(const WorkspaceId& aWorkspace);
  std::size_t Held() const { return bytes_; }

private:
  std::shared_ptr<ClientAccounts> accounts_;
  std::size_t bytes_ = 0;
  WorkspaceId workspace_;
};

} // namespace sycamoreward
