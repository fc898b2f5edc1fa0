#pragma once

// Orders engines to load the model versions that the ModelVersion resources
// declare, while this instance holds the fleet lease.

#include "configuration/ConfigurationSource.h"
#include "fleet/LeaseTask.h"
#include "fleet/Orders.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "store/Table.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sycamoreward {

// Returns the version that the servers of a pool should run: the most recently
// changed ModelVersion resource of the pool, or null when there is none.
const ModelVersion*
FindDesiredVersion(const Configuration& aConfiguration, const PoolName& aPool);

// Delay before the next check of a server after aFailures orders that did not
// take effect. Doubles with each failure, up to a maximum.
Duration
OrderBackoff(unsigned aFailures);

// What a FleetTask uses. The references must outlive the task.
struct FleetServices
{
  EventLoop& loop_;
  HttpClient& client_;
  Table& table_;
  const ConfigurationSource& configuration_;
  const ServerList& servers_;
  // Returns the lease while this instance holds it.
  std::function<std::optional<HeldLease>()> heldLease_;
  // Returns a new, unique write token for the table.
  std::function<std::string()> makeToken_;
};

// Periodically compares the state of each engine with the desired version.
class FleetTask
{
public:
  FleetTask(FleetServices aServices, OrderTerms aTerms);
  ~FleetTask();
  FleetTask(const FleetTask&) = delete;
  FleetTask& operator=(const FleetTask&) = delete;

  // Maximum number of servers that are checked or given orders at once.
  static constexpr std::size_t kMaxInFlight = 8;

private:
  struct ServerRecord
  {
    // A check or an order of this server is in progress.
    bool isInFlight_ = false;
    // Earliest time of the next check.
    MonotonicTime nextCheck_{};
    // Order attempts since the server was last seen with the desired version.
    unsigned failures_ = 0;
  };

  void Tick();
  void StartCheck(const Server& aServer, const ModelVersion& aDesired);
  void OnState(const Server& aServer,
               const ModelVersion& aDesired,
               const HttpClientReply& aReply);
  void Claim(const Server& aServer, const ModelVersion& aDesired);
  void SendOrder(const Server& aServer,
                 const ModelVersion& aDesired,
                 FencingToken aEpoch);
  bool IsOrderAllowed(const ModelVersion& aDesired) const;
  void Finish(const ServerId& aServer, Duration aDelay);
  // Calls a server. The order timeout bounds the complete call.
  void Call(const HttpClientRequest& aRequest,
            std::function<void(HttpClientReply)> aOnReply);

  FleetServices services_;
  OrderTerms terms_;
  std::map<ServerId, ServerRecord> servers_;
  // Servers with a check or an order in progress.
  std::size_t inFlight_ = 0;
  // Configuration revision at the last tick.
  Revision revision_;
  FencingToken epoch_;
  // Number of the last order claimed within epoch_.
  std::uint64_t orderNumber_ = 0;
  EventLoop::TimerId timer_ = 0;
  // Callbacks hold a weak reference to detect that the task was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
