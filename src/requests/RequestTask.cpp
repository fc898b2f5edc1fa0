#include "requests/RequestTask.h"

#include "base/Digest.h"
#include "requests/BackendCall.h"
#include "requests/TaskErrors.h"
#include "telemetry/Log.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Pause before a server of a full pool is asked again.
constexpr Duration kBackoff = std::chrono::milliseconds(100);
constexpr std::size_t kMaxExcluded = 8;

RequestTraits
TraitsOf(const AcceptedRequest& aRequest,
         const std::vector<ServerId>& aExcluded)
{
  RequestTraits traits;
  traits.request_ = aRequest.id_;
  traits.workspace_ = aRequest.workspace_;
  traits.excluded_ = aExcluded;
  if (aRequest.model_) {
    traits.prefixHashes_ = PrefixHashes(aRequest.model_->prompt_);
    traits.promptTokens_ = EstimateTokens(aRequest.model_->prompt_);
    traits.maxTokens_ = aRequest.model_->maxTokens_;
  }
  return traits;
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
      self->WhenThawed([self] { self->OnDeadline(); });
    }
  }));
  log_->OnAbandoned([weak] {
    if (const auto self = weak.lock()) {
      self->WhenThawed([self] { self->OnAbandoned(); });
    }
  });
  log_->OnFlow([weak](bool aIsBlocked) {
    const auto self = weak.lock();
    if (self != nullptr && !self->isFrozen_) {
      for (auto& [number, running] : self->running_) {
        running.attempt_->Hold(aIsBlocked);
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
  RegisterRequest claim;
  claim.request_ = request_.id_;
  claim.workspace_ = request_.workspace_;
  claim.service_ = request_.Name();
  claim.region_ = request_.service_.region_;
  claim.keyDigest_ = request_.keyDigest_;
  claim.bodyDigest_ = request_.bodyDigest_;
  claim.isDurable_ = !request_.isRepeatable_;
  claim.owner_ = context_.membership_.Members().self_;
  context_.ledger_.Register(
    claim,
    request_.isRepeatable_ ? kRepeatableClaimLimit : kClaimLimit,
    [self = shared_from_this()](RegisterReply aReply) {
      self->WhenThawed(
        [self, reply = std::move(aReply)] { self->OnClaimed(reply); });
    });
}

void
RequestTask::OnClaimed(const RegisterReply& aReply)
{
  if (isEnded_) {
    return;
  }
  const bool isOwn = aReply.status_ == RegisterStatus::Granted ||
                     (aReply.status_ == RegisterStatus::Running &&
                      aReply.request_ == request_.id_);
  const bool isUnavailable = aReply.status_ == RegisterStatus::Unavailable;
  if (isOwn || (isUnavailable && request_.isRepeatable_)) {
    Choose(false);
  } else if (isUnavailable) {
    // The claim may still become durable. The outcome withdraws it.
    GiveUp(ClaimError(), "claim not confirmed; not sent");
  } else {
    isEnded_ = true;
    StopWork();
    log_->OnAbandoned(nullptr);
    log_->OnFlow(nullptr);
    hooks_.onDiverted_(aReply);
  }
}

// Choose.

void
RequestTask::Choose(bool aIsHedge)
{
  auto ticket = std::make_shared<Scheduler::Ticket>(0);
  *ticket = context_.scheduler_.Submit(
    request_.configuration_,
    request_.service_,
    TraitsOf(request_, excluded_),
    Remaining(),
    [self = shared_from_this(), ticket, aIsHedge](Grant aGrant) {
      self->WhenThawed([self, ticket, aIsHedge, grant = std::move(aGrant)] {
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
  // A hedge is of use only while no attempt has begun to answer.
  const bool isUnwanted =
    isEnded_ || (aIsHedge && (running_.empty() || !log_->Parts().empty()));
  if (isUnwanted) {
    if (aGrant.server_) {
      context_.scheduler_.End(aTicket, AttemptEnd::Cancelled);
    }
  } else if (aGrant.server_) {
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
                                               TokenSilence(),
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
      if (self == nullptr || self->isEnded_ || self->isFrozen_) {
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

// Stream.

void
RequestTask::OnEvents(AttemptNumber aAttempt,
                      const std::vector<EngineEvent>& aEvents)
{
  const auto found = running_.find(aAttempt);
  if (isEnded_ || found == running_.end()) {
    return;
  }
  Running& running = found->second;
  if (!running.hasFirstByte_) {
    SelectWinner(aAttempt, running);
  }
  const std::size_t before = assembler_.Parts().size();
  const bool isUsable = TakeEvents(running, aEvents);
  const std::size_t count = assembler_.Parts().size() - before;
  context_.scheduler_.TokensArrived(running.ticket_, Tokens(count));
  if (assembler_.IsWhole() && running.hasEndMark_) {
    const std::string server = running.server_.id_.Value();
    CloseAttempt(aAttempt, AttemptEnd::Completed, "complete");
    CompleteModel(server);
    return;
  }
  if (count != 0 && request_.isRepeatable_) {
    log_->Notify();
  }
  if (!isUsable && !isEnded_ && running_.count(aAttempt) != 0) {
    AttemptReply reply;
    reply.end_ = HttpEnd::Broken;
    running.attempt_->Cancel();
    OnFailure(aAttempt, reply);
  }
}

// The first attempt to answer gives the whole answer; the others are cancelled.
void
RequestTask::SelectWinner(AttemptNumber aAttempt, Running& aRunning)
{
  aRunning.hasFirstByte_ = true;
  const MonotonicTime now = context_.loop_.GetClock().Now();
  context_.scheduler_.FirstByte(aRunning.ticket_, now - aRunning.sent_);
  firstToken_ = now;
  assembler_.BeginAttempt(aAttempt);
  std::vector<AttemptNumber> losers;
  for (const auto& [number, running] : running_) {
    if (number != aAttempt) {
      losers.push_back(number);
    }
  }
  for (const AttemptNumber loser : losers) {
    running_.at(loser).attempt_->Cancel();
    CloseAttempt(loser, AttemptEnd::Cancelled, "cancelled");
  }
}

// Returns false when the attempt can't complete the answer any more.
bool
RequestTask::TakeEvents(Running& aRunning,
                        const std::vector<EngineEvent>& aEvents)
{
  for (const EngineEvent& event : aEvents) {
    if (event.isDone_) {
      aRunning.hasEndMark_ = true;
      continue;
    }
    PartVerdict verdict = PartVerdict::Accepted;
    if (event.finishReason_) {
      verdict = assembler_.End(event.attempt_, event.index_);
      finishReason_ = *event.finishReason_;
    } else {
      verdict = assembler_.Accept(event.attempt_, event.index_, event.text_);
      if (verdict == PartVerdict::Accepted && request_.isRepeatable_) {
        log_->Append(event.text_);
      }
    }
    if (verdict == PartVerdict::Gap || log_->Size().Value() > kMaxAnswer ||
        assembler_.Parts().size() > kMaxTokens) {
      return false;
    }
  }
  return true;
}

void
RequestTask::OnAttemptEnd(AttemptNumber aAttempt, const AttemptReply& aReply)
{
  const auto found = running_.find(aAttempt);
  if (isEnded_ || found == running_.end()) {
    return;
  }
  const bool isAnswer = aReply.end_ == HttpEnd::Complete && !IsRefusal(aReply);
  if (isAnswer && !request_.model_) {
    const std::string server = found->second.server_.id_.Value();
    CloseAttempt(aAttempt, AttemptEnd::Completed, "complete");
    CompletePlain(aReply, "reply of " + server);
    return;
  }
  AttemptReply reply = aReply;
  if (isAnswer && aReply.status_ == 200) {
    // A stream that ended without its end mark or without all of its tokens.
    reply.end_ = HttpEnd::Broken;
  }
  OnFailure(aAttempt, std::move(reply));
}

void
RequestTask::OnFailure(AttemptNumber aAttempt, AttemptReply aReply)
{
  const Server server = running_.at(aAttempt).server_;
  const AttemptFailure failure = ReadFailure(aReply);
  const FailureClass kind = ClassifyFailure(failure);
  CloseAttempt(aAttempt,
               AttemptEnd::Failed,
               aReply.end_ == HttpEnd::Complete
                 ? "status " + std::to_string(aReply.status_)
                 : ToString(aReply.end_));
  if (failure.isConfirmedNotRun_ || failure.isLeaving_) {
    context_.scheduler_.ServerRefused(server.id_, failure.isLeaving_);
  }
  hasRun_ = hasRun_ || MayHaveRun(kind);
  if (excluded_.size() < kMaxExcluded) {
    excluded_.push_back(server.id_);
  }
  if (!running_.empty()) {
    return;
  }
  switch (Decide(kind)) {
    case RetryAction::RetryElsewhere:
      Choose(false);
      return;
    case RetryAction::RetryAfterBackoff:
      timers_.push_back(
        context_.loop_.CallAfter(kBackoff, [self = shared_from_this()] {
          self->WhenThawed([self] {
            if (!self->isEnded_) {
              self->Choose(false);
            }
          });
        }));
      return;
    case RetryAction::AskServer:
      AskServer(server);
      return;
    case RetryAction::GiveUp:
      GiveUp(AttemptError(aReply, server.id_.Value(), RanSoFar()),
             "call to " + server.id_.Value() + " failed");
      return;
  }
}

RetryAction
RequestTask::Decide(FailureClass aClass)
{
  if (!request_.isRepeatable_ && aClass == FailureClass::Transport) {
    // Whatever the retry rules say: a call that may have run is not sent again
    // before its server has denied it.
    return RetryAction::AskServer;
  }
  if (!request_.isRepeatable_ && aClass == FailureClass::ServerError) {
    return RetryAction::GiveUp;
  }
  RetryQuestion question;
  question.class_ = aClass;
  question.isRepeatable_ = request_.isRepeatable_;
  question.attempts_ = unsigned(attempts_.size());
  question.remaining_ = Remaining();
  question.hasBudget_ =
    !DrawsOnBudget(aClass) || context_.scheduler_.TakeRetry(request_.service_);
  return DecideRetry(question);
}

void
RequestTask::AskServer(const Server& aServer)
{
  if (request_.service_.statusPath_.empty()) {
    OnStatus(aServer, StatusAnswer{});
    return;
  }
  isAsking_ = true;
  AskWhetherRan(context_,
                aServer.address_,
                StatusTarget(request_.service_.statusPath_, request_.id_),
                [self = shared_from_this(), aServer](StatusAnswer aAnswer) {
                  self->WhenThawed([self, aServer, aAnswer] {
                    self->OnStatus(aServer, aAnswer);
                  });
                });
}

void
RequestTask::OnStatus(const Server& aServer, const StatusAnswer& aAnswer)
{
  if (isEnded_) {
    return;
  }
  isAsking_ = false;
  const std::string server = aServer.id_.Value();
  if (aAnswer.ran_ == Ran::NotRun) {
    hasRun_ = false;
    if (!attempts_.empty()) {
      attempts_.back().end_ = "server says not run";
    }
    RetryQuestion question;
    question.class_ = FailureClass::NotSent;
    question.isRepeatable_ = false;
    question.attempts_ = unsigned(attempts_.size());
    question.remaining_ = Remaining();
    if (DecideRetry(question) == RetryAction::GiveUp) {
      GiveUp(DeadlineError(Ran::NotRun), "status of " + server + ": not run");
    } else {
      Choose(false);
    }
    return;
  }
  if (aAnswer.ran_ == Ran::Ran && aAnswer.reply_) {
    AttemptReply reply;
    reply.end_ = HttpEnd::Complete;
    reply.status_ = aAnswer.reply_->status_;
    reply.headers_ = { { "Content-Type", aAnswer.reply_->contentType_ } };
    reply.body_ = aAnswer.reply_->body_;
    CompletePlain(reply, "stored reply of " + server);
    return;
  }
  const bool hasRun = aAnswer.ran_ == Ran::Ran;
  StopWork();
  Record(hasRun ? OutcomeKind::Failed : OutcomeKind::Unknown,
         "status of " + server + ": " + ToString(aAnswer.ran_),
         std::nullopt);
  log_->Fail(SentError(server, aAnswer.ran_));
  End();
}

void
RequestTask::OnDeadline()
{
  // An unrepeatable call that was sent runs to its outcome.
  const bool isSentOnce =
    !request_.isRepeatable_ && (!running_.empty() || isAsking_);
  if (isEnded_ || isSentOnce) {
    return;
  }
  hasRun_ = hasRun_ || !running_.empty();
  GiveUp(DeadlineError(RanSoFar()), "deadline passed");
}

void
RequestTask::OnAbandoned()
{
  if (isEnded_ || request_.isKeyed_ || !request_.isRepeatable_) {
    return;
  }
  hasRun_ = hasRun_ || !running_.empty();
  GiveUp(CallerGoneError(RanSoFar()), "caller gone");
}

} // namespace sycamoreward
