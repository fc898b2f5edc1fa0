#pragma once

// When the holder of the fleet lease may send an order to a backend server.

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

// An order states the wanted result, so that one that arrives late is seen by
// reading the state back and put right by a new order.
struct Order
{
  ServerId server_;
  OrderKind kind_ = OrderKind::LoadModel;
  std::string argument_;
  FencingToken fencing_;
};

enum class FencingSupport
{
  // The server refuses an order with an older token than it has seen.
  Checked,
  // The server ignores the token.
  Ignored
};

struct OrderTerms
{
  LeaseTerms lease_;
  // Longest time from the check of the lease until the server acts. Together
  // with the renewal period it must be shorter than the lease, or no moment is
  // left for orders to servers that ignore fencing tokens.
  Duration orderTimeout_ = std::chrono::seconds(5);
};

enum class OrderPermission
{
  Allowed,
  // This instance does not hold the lease now.
  NotHeld,
  // An order of the holder before may still arrive at a server that ignores
  // fencing tokens.
  TooEarly,
  // The lease could lapse before the order has arrived at a server that ignores
  // fencing tokens.
  TooLate
};

OrderPermission
CheckOrderPermission(const std::optional<HeldLease>& aLease,
                     FencingSupport aSupport,
                     MonotonicTime aNow,
                     const OrderTerms& aTerms);

} // namespace sycamoreward
