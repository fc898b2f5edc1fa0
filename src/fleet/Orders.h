#pragma once

// Decides when the holder of the fleet lease may send an order to a backend
// server.

#include "base/Clock.h"
#include "base/Ids.h"
#include "fleet/Lease.h"

#include <optional>
#include <string>

namespace sycamoreward {

enum class OrderKind
{
  LoadModel,
  LoadAdapter,
  ChangeRole
};

const char*
ToString(OrderKind aKind);

// An order states the desired state. The effect of an order that arrives late
// is detected by reading the state back and is corrected by a new order.
struct Order
{
  ServerId server_;
  OrderKind kind_ = OrderKind::LoadModel;
  std::string argument_;
  FencingToken fencing_;
};

enum class FencingSupport
{
  // The server rejects an order whose token is older than one it has seen.
  Checked,
  // The server ignores the token.
  Ignored
};

struct OrderTerms
{
  LeaseTerms lease_;
  // Maximum time from the check of the lease until the server applies the
  // order. The sum of this and the renewal interval must be less than the lease
  // duration; otherwise servers that ignore fencing tokens could never be sent
  // an order.
  Duration orderTimeout_ = std::chrono::seconds(5);
};

enum class OrderPermission
{
  Allowed,
  // This instance does not hold a valid lease.
  NotHeld,
  // An order from the previous holder may still arrive at a server that ignores
  // fencing tokens.
  TooEarly,
  // The lease could expire before the order arrives at a server that ignores
  // fencing tokens.
  TooLate
};

// Whether an order may be sent at aNow under aLease.
OrderPermission
CheckOrderPermission(const std::optional<HeldLease>& aLease,
                     FencingSupport aSupport,
                     MonotonicTime aNow,
                     const OrderTerms& aTerms);

} // namespace sycamoreward
