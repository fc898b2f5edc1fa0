#pragma once

// Descriptions of a backend server: its entry in the platform's instance list
// and its load report.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"

namespace sycamoreward {

enum class ServerState
{
  Live,
  Leaving
};

// An entry of the platform's instance list. The list may be out of date.
struct Server
{
  ServerId id_;
  PoolName pool_;
  Address address_;
  FailureDomainId failureDomain_;
  ServerState state_ = ServerState::Live;
};

// Load and availability that a server reported about itself.
struct LoadReport
{
  // Number of running and of queued requests.
  unsigned running_ = 0;
  unsigned waiting_ = 0;
  Tokens kvUsed_;
  Tokens kvCapacity_;
  // False if the server is leaving and accepts no new work.
  bool isAccepting_ = true;
  // Age of the counts when the server sent the report.
  Duration age_{ 0 };
};

} // namespace sycamoreward
