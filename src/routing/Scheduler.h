#pragma once

// Interface that assigns each request a slot at a backend server. It covers
// queueing, fair sharing between workspaces, load shedding and the choice of
// the server.

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

// Properties of a request that routing decisions depend on.
struct RequestTraits
{
  RequestId request_;
  WorkspaceId workspace_;
  // Hashes of successively longer prefixes of the prompt, longest last. Empty
  // for plain services.
  std::vector<std::uint64_t> prefixHashes_;
  Tokens promptTokens_;
  // Upper bound on the generated tokens set by the caller; 0 if there is none.
  Tokens maxTokens_;
  // Servers at which earlier attempts of this request failed.
  std::vector<ServerId> excluded_;
  // If set, the request may be sent to these servers only.
  std::optional<std::vector<ServerId>> allowed_;
};

// Why a request got no slot, and the HTTP status that the caller receives.
enum class Refusal
{
  None,
  // The request can't be queued and its workspace exceeds its share: 429.
  WorkspaceOverShare,
  // The expected wait exceeds the deadline, or the queue is full: 503.
  Overloaded,
  // No server accepts new work: 503.
  NoServer
};

// Result of Submit: either a slot at a server or a refusal.
struct Grant
{
  // Empty when refused.
  std::optional<Server> server_;
  Refusal refusal_ = Refusal::None;
  // If refused: time after which the caller should retry.
  Duration retryAfter_{ 0 };
};

// How an attempt ended, as reported to the scheduler.
enum class AttemptEnd
{
  Completed,
  Failed,
  // Cancelled by this instance, for example the slower of two hedged attempts.
  Cancelled
};

class Scheduler
{
public:
  using Ticket = std::uint64_t;

  virtual ~Scheduler() = default;

  // Requests a slot. aOnGrant is called once, after Submit has returned.
  virtual Ticket Submit(const std::shared_ptr<const Configuration>& aConfig,
                        const Service& aService,
                        const RequestTraits& aTraits,
                        Duration aDeadline,
                        std::function<void(Grant)> aOnGrant) = 0;

  // Removes the request from the queue. Has no effect after the grant.
  virtual void Cancel(Ticket aTicket) = 0;

  // Progress of an attempt that was granted a slot. End frees the slot and must
  // be called exactly once.
  virtual void FirstByte(Ticket aTicket, Duration aSinceSent) = 0;
  virtual void TokensArrived(Ticket aTicket, Tokens aCount) = 0;
  virtual void End(Ticket aTicket, AttemptEnd aEnd) = 0;

  // Reports that a server announced that it is leaving, or refused new work
  // because it is full.
  virtual void ServerRefused(const ServerId& aServer, bool aIsLeaving) = 0;

  // Time without a first byte after which a repeatable request should be
  // hedged. Empty if the hedge budget is used up or a hedge would not help.
  virtual std::optional<Duration> HedgeDelay(const Service& aService) = 0;

  // Consumes one hedge from the budget. Returns false if the budget is used up.
  virtual bool TakeHedge(const Service& aService) = 0;
  // Consumes one retry from the budget. Returns false if the budget is used up.
  virtual bool TakeRetry(const Service& aService) = 0;
};

} // namespace sycamoreward
