#include "requests/RequestTask.h"

#include "base/Digest.h"
#include "requests/BackendCall.h"
#include "requests/TaskErrors.h"
#include "routing/Rendezvous.h"
#include "routing/Subset.h"

#include <algorithm>

#include <algorithm>

#include <algorithm>

namespace sycamoreward {

namespace {

RequestTraits
MakeTraits(const AcceptedRequest& aRequest,
           const std::vector<ServerId>& aExcluded,
           const std::vector<ServerId>& aClaimed)
{
  RequestTraits traits;
  traits.request_ = aRequest.id_;
  traits.workspace_ = aRequest.workspace_;
  traits.excluded_ = aExcluded;
  if (!aRequest.isRepeatable_) {
    traits.allowed_ = aClaimed;
  }
  if (aRequest.model_) {
    traits.prefixHashes_ = PrefixHashes(aRequest.model_->prompt_);
    traits.promptTokens_ = EstimateTokens(aRequest.model_->prompt_);
    traits.maxTokens_ = aRequest.model_->maxTokens_;
  }
  return traits;
}

// Selects at most kMaxClaimedServers servers of the pool's subset that this
// instance uses, ranked by rendezvous hashing of the request id.
std::vector<ServerId>
ServersToClaim(const RequestContext& aContext, const AcceptedRequest& aRequest)
{
  std::vector<Server> pool;
  for (const Server& server : aContext.servers_.Servers()) {
    if (server.pool_ == aRequest.service_.pool_) {
      pool.push_back(server);
    }
  }
  const MemberList& members = aContext.membership_.Members();
  std::vector<InstanceId> instances;
  for (const Member& member : members.members_) {
    if (member.state_ == MemberState::Live ||
        member.state_ == MemberState::Suspect) {
      instances.push_back(member.identity_.instance_);
    }
  }
  const std::uint64_t key = RendezvousScore(aRequest.id_.Value(), 0);
  std::vector<std::pair<std::uint64_t, ServerId>> ranked;
  for (const Server& server : ChooseSubset(members.self_, instances, pool)) {
    ranked.emplace_back(RendezvousScore(server.id_.Value(), key), server.id_);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), RequestTask::kMaxClaimedServers));
  std::vector<ServerId> servers;
  servers.reserve(ranked.size());
  for (const auto& [score, server] : ranked) {
    servers.push_back(server);
  }
  return servers;
}

} // namespace

RequestTask::RequestTask(RequestContext& aContext,
                         AcceptedRequest aRequest,
                         std::shared_ptr<AnswerLog> aLog,
                         Hooks aHooks)
  : context_(aContext)
  , request_(std::move(aRequest))
  , log_(std::move(aLog))
  , hooks_(std::move(aHooks))
{
}

// Accept.

void
RequestTask::Start()
{
  Begin();
  Claim();
}

void
RequestTask::StartWithoutClaim()
{
  Begin();
  Choose(false);
}

void
RequestTask::Begin()
{
  const std::weak_ptr<RequestTask> weak = weak_from_this();
  timers_.push_back(context_.loop_.CallAfter(Remaining(), [weak] {
    if (const auto self = weak.lock()) {
      self->RunWhenResumed([self] { self->OnDeadline(); });
    }
  }));
  log_->OnAbandoned([weak] {
    if (const auto self = weak.lock()) {
      self->RunWhenResumed([self] { self->OnAbandoned(); });
    }
  });
  log_->OnFlow([weak](bool aIsBlocked) {
    const auto self = weak.lock();
    if (self != nullptr && !self->isSuspended_) {
      for (auto& [number, running] : self->running_) {
        running.attempt_->SetPaused(aIsBlocked);
      }
    }
  });
}

// Claim.

void
RequestTask::Claim()
{
  if (request_.isRepeatable_ && !request_.isKeyed_) {
    Choose(false);
    return;
  }
  context_.ledger_.Register(
    MakeClaim(),
    request_.isRepeatable_ ? kRepeatableClaimTimeout : kClaimTimeout,
    [self = shared_from_this()](RegisterReply aReply) {
      self->RunWhenResumed(
        [self, reply = std::move(aReply)] { self->OnClaimed(reply); });
    });
}

RegisterRequest
RequestTask::MakeClaim()
{
  RegisterRequest claim;
  claim.request_ = request_.id_;
  claim.workspace_ = request_.workspace_;
  claim.service_ = request_.Name();
  claim.region_ = request_.service_.region_;
  claim.keyDigest_ = request_.keyDigest_;
  claim.bodyDigest_ = request_.bodyDigest_;
  claim.isDurable_ = !request_.isRepeatable_;
  claim.owner_ = context_.membership_.Members().self_;
  if (claim.isDurable_) {
    // All tries name the same servers, since a try whose reply was lost may
    // have been recorded.
    if (claimed_.empty()) {
      claimed_ = ServersToClaim(context_, request_);
    }
    claim.servers_ = claimed_;
    claim.previousOwners_ = previousOwners_;
  }
  return claim;
}

void
RequestTask::OnClaimed(const RegisterReply& aReply)
{
  if (isEnded_) {
    return;
  }
  const bool isOwn =
    aReply.status_ == RegisterStatus::Granted ||
    (aReply.status_ == RegisterStatus::Running &&
     aReply.request_ == request_.id_ && request_.isRepeatable_);
  const bool isUnavailable = aReply.status_ == RegisterStatus::Unavailable;
  if (isOwn || (isUnavailable && request_.isRepeatable_)) {
    Choose(false);
  } else if (isUnavailable) {
    // The claim may still become durable; recording the outcome withdraws it.
    GiveUp(ClaimError(), "claim not confirmed; not sent");
  } else {
    ReportClaimConflict(aReply);
  }
}

void
RequestTask::ReportClaimConflict(const RegisterReply& aReply)
{
  StopWork();
  log_->OnAbandoned(nullptr);
  log_->OnFlow(nullptr);
  hooks_.onClaimConflict_(aReply);
}

// Choose.

void
RequestTask::Choose(bool aIsHedge)
{
  auto ticket = std::make_shared<Scheduler::Ticket>(0);
  *ticket = context_.scheduler_.Submit(
    request_.configuration_,
    request_.service_,
    MakeTraits(request_, excluded_, claimed_),
    Remaining(),
    [self = shared_from_this(), ticket, aIsHedge](Grant aGrant) {
      self->RunWhenResumed([self, ticket, aIsHedge, grant = std::move(aGrant)] {
        self->OnGranted(*ticket, grant, aIsHedge);
      });
    });
  waiting_.insert(*ticket);
}

void
RequestTask::OnGranted(Scheduler::Ticket aTicket,
                       const Grant& aGrant,
                       bool aIsHedge)
{
  waiting_.erase(aTicket);
  // A hedge is useful only while no attempt has started to answer.
  const bool isAtServer =
    aGrant.server_ &&
    std::any_of(running_.begin(), running_.end(), [&](const auto& aEntry) {
      return aEntry.second.server_.id_ == aGrant.server_->id_;
    });
  const bool isUnwanted =
    isEnded_ ||
    (aIsHedge && (running_.empty() || isAtServer || !log_->Parts().empty()));
  if (isUnwanted) {
    if (aGrant.server_) {
      context_.scheduler_.End(aTicket, AttemptEnd::Cancelled);
    }
  } else if (aGrant.server_) {
    if (aIsHedge && context_.metrics_ != nullptr) {
      context_.metrics_->CountRetry(request_.Name(), "hedge");
    }
    Dispatch(aTicket, *aGrant.server_);
  } else if (!aIsHedge) {
    GiveUp(RefusalError(aGrant, RanSoFar()), "no slot");
  }
}

// Dispatch.

void
RequestTask::Dispatch(Scheduler::Ticket aTicket, const Server& aServer)
{
  const AttemptNumber number(
    attempts_.empty() ? 1 : attempts_.back().number_.Value() + 1);
  attempts_.push_back(
    { number, aServer.id_, context_.loop_.GetClock().Wall(), "running" });
  BackendCallInput input;
  input.server_ = aServer.address_;
  input.attempt_ = number;
  input.delivered_ = assembler_.Parts();
  input.remaining_ = Remaining();
  input.spanId_ = context_.random_();
  AttemptCallbacks callbacks;
  const std::weak_ptr<RequestTask> weak = weak_from_this();
  if (request_.model_) {
    callbacks.onEvents_ = [weak, number](std::vector<EngineEvent> aEvents) {
      if (const auto self = weak.lock()) {
        self->OnEvents(number, aEvents);
      }
    };
  }
  callbacks.onEnd_ = [weak, number](AttemptReply aReply) {
    if (const auto self = weak.lock()) {
      self->OnAttemptEnd(number, aReply);
    }
  };
  Running running;
  running.ticket_ = aTicket;
  running.server_ = aServer;
  running.sent_ = context_.loop_.GetClock().Now();
  running.record_ = attempts_.size() - 1;
  running.attempt_ = std::make_shared<Attempt>(context_.loop_,
                                               context_.client_,
                                               MakeBackendCall(request_, input),
                                               TokenGapTimeout(),
                                               std::move(callbacks));
  running.attempt_->Start();
  running_.emplace(number, std::move(running));
  ArmHedge(number);
}

void
RequestTask::ArmHedge(AttemptNumber aAttempt)
{
  if (!request_.model_ || !request_.isRepeatable_ || running_.size() > 1 ||
      !assembler_.Parts().empty()) {
    return;
  }
  const auto delay = context_.scheduler_.HedgeDelay(request_.service_);
  if (!delay) {
    return;
  }
  timers_.push_back(
    context_.loop_.CallAfter(*delay, [weak = weak_from_this(), aAttempt] {
      const auto self = weak.lock();
      if (self == nullptr || self->isEnded_ || self->isSuspended_) {
        return;
      }
      const auto found = self->running_.find(aAttempt);
      if (found == self->running_.end() || found->second.hasFirstByte_ ||
          !self->context_.scheduler_.TakeHedge(self->request_.service_)) {
        return;
      }
      self->excluded_.push_back(found->second.server_.id_);
      self->Choose(true);
    }));
}

} // namespace sycamoreward
