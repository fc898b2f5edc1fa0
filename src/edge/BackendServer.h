#pragma once

// A backend server as listed by the platform.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Ids.h"

#include <optional>

namespace sycamoreward::edge {

struct BackendServer
{
  ServerId id_;
  // Identifies the start of the server's process; 0 if unknown. A server that
  // restarted under the same id has lost all its state.
  Incarnation incarnation_;
  ServiceName service_;
  Address address_;
  FailureDomainId domain_;
  std::uint32_t slots_ = 1;
  // Accepts no new requests.
  bool isDraining_ = false;
  // May be reclaimed together with all others of its failure domain.
  bool isReclaimable_ = false;
  // Time from listed_ until the server has warmed up; it is slow until then.
  Duration coldDuration_{ 0 };
  // The entry was read from an older copy of the store and not written since.
  bool isFromCopy_ = false;
  // When the entry was first read.
  MonotonicTime listed_;
};

// Load reported by a server.
struct ReportedLoad
{
  // Time that work takes on the server, as a multiple of the usual time.
  double slowness_ = 1;
  MonotonicTime at_;
};

} // namespace sycamoreward::edge
