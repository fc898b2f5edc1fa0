#pragma once

// A backend server as the platform lists it.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Ids.h"

#include <optional>

namespace sycamoreward::edge {

struct BackendServer
{
  ServerId id_;
  // Start of the process; 0 when it is not known. A new start under the same
  // id has lost everything.
  Incarnation incarnation_;
  ServiceName service_;
  Address address_;
  FailureDomainId domain_;
  std::uint32_t slots_ = 1;
  // Takes no new work.
  bool isDraining_ = false;
  // May be taken away together with all others of its failure domain.
  bool isReclaimable_ = false;
  // Time for which the server is slow after its start.
  Duration coldDuration_{ 0 };
  // When the entry was read.
  MonotonicTime listed_;
};

// What a server said of its machine.
struct ReportedLoad
{
  // How long work takes on the machine, as a multiple of the usual time.
  double slowness_ = 1;
  MonotonicTime at_;
};

} // namespace sycamoreward::edge
