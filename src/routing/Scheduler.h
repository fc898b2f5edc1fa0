#pragma once

// Gives requests a slot at a backend server: waits in the queue, fair shares,
// refusal under overload and choice of the server behind one interface.

#include "base/Clock.h"
#include "base/Ids.h"
#include "configuration/Resource.h"
#include "routing/Server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// What routing knows of a request.
struct RequestTraits
{
  RequestId request_;
  WorkspaceId workspace_;
  // Hashes of growing prefixes of the prompt, longest last; empty for plain
  // services.
  std::vector<std::uint64_t> prefixHashes_;
  Tokens promptTokens_;
  // Upper bound that the caller gave, or 0.
  Tokens maxTokens_;
  // Servers that earlier attempts failed at.
  std::vector<ServerId> excluded_;
  // When set, the only servers that may get the request.
  std::optional<std::vector<ServerId>> allowed_;
};

enum class Refusal
{
  None,
  // The workspace is above its share and the queue is full: 429.
  WorkspaceOverShare,
  // The wait would exceed the deadline or the queue is full: 503.
  Overloaded,
  // No server takes new work: 503.
  NoServer
};

struct Grant
{
  // Empty when refused.
  std::optional<Server> server_;
  Refusal refusal_ = Refusal::None;
  // When refused: how long a caller should wait.
  Duration retryAfter_{ 0 };
};

// How an attempt ended, for the view of its server.
enum class AttemptEnd
{
  Completed,
  Failed,
  // Cancelled by this side, for example the loser of a hedge.
  Cancelled
};

class Scheduler
{
public:
  using Ticket = std::uint64_t;

  virtual ~Scheduler() = default;

  // Asks for a slot; aOnGrant is called once, never before Submit returns.
  virtual Ticket Submit(const std::shared_ptr<const Configuration>& aConfig,
                        const Service& aService,
                        const RequestTraits& aTraits,
                        Duration aDeadline,
                        std::function<void(Grant)> aOnGrant) = 0;

  // Leaves the queue. No effect after the grant.
  virtual void Cancel(Ticket aTicket) = 0;

  // Reports of a granted attempt. End frees the slot; call it exactly once.
  virtual void FirstByte(Ticket aTicket, Duration aSinceSent) = 0;
  virtual void TokensArrived(Ticket aTicket, Tokens aCount) = 0;
  virtual void End(Ticket aTicket, AttemptEnd aEnd) = 0;

  // A server said that it leaves or refused new work.
  virtual void ServerRefused(const ServerId& aServer, bool aIsLeaving) = 0;

  // Time after which a repeatable request without a first byte should be
  // hedged; empty when the budget does not allow it or it is not worth it.
  virtual std::optional<Duration> HedgeDelay(const Service& aService) = 0;

  // Takes one from the hedge budget. False when it is used up.
  virtual bool TakeHedge(const Service& aService) = 0;
  // Takes one from the retry budget. False when it is used up.
  virtual bool TakeRetry(const Service& aService) = 0;
};

} // namespace sycamoreward
