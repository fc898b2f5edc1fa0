#pragma once

// What an entry instance knows of a backend server.

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

// An entry of the platform's instance list. The list lags behind the truth.
struct Server
{
  ServerId id_;
  PoolName pool_;
  Address address_;
  FailureDomainId failureDomain_;
  ServerState state_ = ServerState::Live;
};

// What a server said of itself in a load report.
struct LoadReport
{
  // Requests that run and that wait.
  unsigned running_ = 0;
  unsigned waiting_ = 0;
  Tokens kvUsed_;
  Tokens kvCapacity_;
  // False when the server leaves and takes no new work.
  bool isAccepting_ = true;
  // Age of the figures when the report was sent.
  Duration age_{ 0 };
};

} // namespace sycamoreward
