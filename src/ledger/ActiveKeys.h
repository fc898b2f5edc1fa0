#pragma once

// Idempotency keys of repeatable requests that are running or whose outcome is
// not durable yet. The registrar holds them only in memory: they are lost when
// it fails, and the owners of the requests then register again.

#include "ledger/Ledger.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace sycamoreward {

// A request that holds an idempotency key.
struct ActiveKey
{
  RegisterRequest request_;
  Incarnation incarnation_;
  // Set once the request has ended and its outcome is waiting to be written to
  // the table.
  std::optional<Outcome> outcome_;
};

// Active requests by full key (workspace, service and key digest), with an
// index from request id to full key.
struct ActiveKeys
{
  std::unordered_map<std::string, ActiveKey> byKey_;
  std::unordered_map<RequestId, std::string> keyByRequest_;
};

// Maximum number of keys. Above it, requests are granted without being stored,
// so that the same key may run twice, which is allowed for repeatable work
// only.
constexpr std::size_t kMaxActiveKeys = 100000;

// Returns the entry that holds the request's key, or null.
const ActiveKey*
FindActive(const ActiveKeys& aKeys, const RegisterRequest& aRequest);

// Decides a registration that is not durable. aIsHolderDead says whether the
// owner of the entry returned by FindActive is dead.
RegisterReply
RegisterActive(ActiveKeys& aKeys,
               const RegisterRequest& aRequest,
               Incarnation aIncarnation,
               bool aIsHolderDead);

// Stores the outcome of an active request until it is durable.
void
SetActiveOutcome(ActiveKeys& aKeys, const Outcome& aOutcome);

// Removes a request whose outcome is durable.
void
RemoveActive(ActiveKeys& aKeys, const RequestId& aRequest);

} // namespace sycamoreward
