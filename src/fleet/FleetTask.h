#pragma once

// Keeps the models of engines at what the ModelVersion resources declare, while
// this instance holds the fleet lease.

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

// The version that the servers of a pool should have: of the ModelVersion
// resources of the pool the one that was changed last. Null when there is none.
const ModelVersion*
FindDesiredVersion(const Configuration& aConfiguration, const PoolName& aPool);

// How long a server is left alone after orders that did not take effect.
Duration
OrderBackoff(unsigned aFailures);

struct FleetServices
{
  EventLoop& loop_;
  HttpClient& client_;
  Table& table_;
  const ConfigurationSource& configuration_;
  const ServerList& servers_;
  // The lease while it is valid.
  std::function<std::optional<HeldLease>()> heldLease_;
  std::function<std::string()> makeToken_;
};

class FleetTask
{
public:
  FleetTask(FleetServices aServices, OrderTerms aTerms);
  ~FleetTask();
  FleetTask(const FleetTask&) = delete;
  FleetTask& operator=(const FleetTask&) = delete;

  // Calls open at once, each for one server.
  static constexpr std::size_t kMaxInFlight = 8;

private:
  struct ServerRecord
  {
    bool isInFlight_ = false;
    // When it may be asked next.
    MonotonicTime nextCheck_{};
    // Orders since the server last had the wanted version.
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
  // Calls a server with the order timeout as limit of the whole call.
  void Call(const HttpClientRequest& aRequest,
            std::function<void(HttpClientReply)> aOnReply);

  FleetServices services_;
  OrderTerms terms_;
  std::map<ServerId, ServerRecord> servers_;
  std::size_t inFlight_ = 0;
  // Revision of the configuration at the last tick.
  Revision revision_;
  FencingToken epoch_;
  // Last number of an order within epoch_.
  std::uint64_t orderNumber_ = 0;
  EventLoop::TimerId timer_ = 0;
  // Lets callbacks find out that this task is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
