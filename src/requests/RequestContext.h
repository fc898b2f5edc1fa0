#pragma once

// The components of an instance that the request path uses. All of them run on
// one event loop and outlive the request path.

#include "configuration/ConfigurationSource.h"
#include "ledger/Ledger.h"
#include "limits/ClientAccounts.h"
#include "membership/Membership.h"
#include "peer/PeerNetwork.h"
#include "routing/Scheduler.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "telemetry/Metrics.h"

#include <functional>

namespace sycamoreward {

struct RequestContext
{
  EventLoop& loop_;
  HttpClient& client_;
  Scheduler& scheduler_;
  Ledger& ledger_;
  ConfigurationSource& configuration_;
  ServerList& servers_;
  Membership& membership_;
  PeerNetwork& peers_;
  std::function<std::uint64_t()> random_;
  // Optional; no metrics are recorded when null.
  Metrics* metrics_ = nullptr;
  // Optional; answers are not accounted for when null.
  std::shared_ptr<ClientAccounts> clients_ = nullptr;
};

} // namespace sycamoreward
