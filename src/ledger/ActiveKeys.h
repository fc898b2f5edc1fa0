#pragma once

// The registrar's memory of keyed repeatable requests that run or whose outcome
// is not durable yet. It is lost with the registrar; owners register again.

#include "ledger/Ledger.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace sycamoreward {

struct ActiveKey
{
  RegisterRequest request_;
  Incarnation incarnation_;
  // Set when the request has ended and its outcome waits for the table.
  std::optional<Outcome> outcome_;
};

struct ActiveKeys
{
  std::unordered_map<std::string, ActiveKey> byKey_;
  std::unordered_map<RequestId, std::string> keyByRequest_;
};

// Above this, requests are granted without being remembered, so that the same
// key may run twice; this is allowed for repeatable work only.
constexpr std::size_t kMaxActiveKeys = 100000;

// The entry that holds the request's key; null when there is none.
const ActiveKey*
FindActive(const ActiveKeys& aKeys, const RegisterRequest& aRequest);

// Decides on a registration that is not durable. aIsHolderDead says whether the
// owner of the entry that FindActive gives is dead.
RegisterReply
RegisterActive(ActiveKeys& aKeys,
               const RegisterRequest& aRequest,
               Incarnation aIncarnation,
               bool aIsHolderDead);

// Notes the outcome of a request until it is durable.
void
SetActiveOutcome(ActiveKeys& aKeys, const Outcome& aOutcome);

// The outcome of the request is durable.
void
RemoveActive(ActiveKeys& aKeys, const RequestId& aRequest);

} // namespace sycamoreward
