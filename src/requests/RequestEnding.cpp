// RequestTask, last steps: recording the outcome, replying, and handover.

#include "base/Digest.h"
#include "requests/RequestTask.h"
#include "requests/TaskErrors.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Estimated size of a handover message without body and tokens, in bytes.
constexpr std::uint64_t kHandoverOverheadBytes = 512;
constexpr std::size_t kMaxOwners = 8;
constexpr const char* kModelAnswerType = "text/plain; charset=utf-8";

} // namespace

// Recording the outcome, then replying.

void
RequestTask::CompletePlain(const AttemptReply& aReply,
                           const std::string& aEvidence)
{
  const std::string type = FindHeader(aReply.headers_, "Content-Type");
  log_->SetHead(aReply.status_, type);
  log_->Append(aReply.body_);
  StopWork();
  Record(aReply.status_ >= 500 ? OutcomeKind::Failed : OutcomeKind::Completed,
         aEvidence,
         KeptAnswer{ aReply.status_, type, aReply.body_ });
  log_->End("");
  End();
}

void
RequestTask::CompleteModel(const std::string& aServer)
{
  if (!request_.isRepeatable_) {
    for (const std::string& part : assembler_.Parts()) {
      log_->Append(part);
    }
  }
  StopWork();
  Record(OutcomeKind::Completed,
         "reply of " + aServer,
         KeptAnswer{ 200, kModelAnswerType, log_->Text() });
  log_->End(finishReason_);
  End();
}

void
RequestTask::GiveUp(const CallerError& aError, const std::string& aEvidence)
{
  StopWork();
  if (context_.metrics_ != nullptr && aError.ran_ == Ran::NotRun) {
    context_.metrics_->CountRefused(request_.Name(), aError.code_);
  }
  Record(aError.ran_ == Ran::NotRun ? OutcomeKind::NotRun : OutcomeKind::Failed,
         aEvidence,
         std::nullopt);
  log_->Fail(aError);
  End();
}

void
RequestTask::Record(OutcomeKind aKind,
                    const std::string& aEvidence,
                    const std::optional<KeptAnswer>& aAnswer)
{
  Outcome outcome;
  outcome.request_ = request_.id_;
  outcome.workspace_ = request_.workspace_;
  outcome.service_ = request_.Name();
  outcome.keyDigest_ = request_.keyDigest_;
  outcome.bodyDigest_ = request_.bodyDigest_;
  outcome.kind_ = aKind;
  outcome.attempts_ = attempts_;
  outcome.accepted_ = request_.accepted_;
  outcome.ended_ = context_.loop_.GetClock().Wall();
  outcome.evidence_ = aEvidence;
  if (aAnswer) {
    outcome.answerDigest_ = Sha256Hex(aAnswer->body_);
    outcome.answerLength_ = Bytes(aAnswer->body_.size());
    if (!request_.isRepeatable_) {
      // The ledger stores a large answer separately from the outcome.
      outcome.answer_ = aAnswer;
    }
  }
  if (Metrics* metrics = context_.metrics_) {
    const ServiceName name = request_.Name();
    metrics->CountOutcome(name, request_.workspace_, aKind);
    metrics->CountTokens(name, assembler_.Parts().size());
    metrics->ObserveTotal(name, outcome.ended_ - outcome.accepted_);
  }
  context_.ledger_.Record(outcome, nullptr);
}

void
RequestTask::CloseAttempt(AttemptNumber aAttempt,
                          AttemptEnd aEnd,
                          const std::string& aEndText)
{
  const auto found = running_.find(aAttempt);
  attempts_[found->second.record_].end_ = aEndText;
  context_.scheduler_.End(found->second.ticket_, aEnd);
  running_.erase(found);
}

// Cancels queued tickets, running attempts and timers. Must be called before
// the outcome is recorded, so that its attempts are final.
void
RequestTask::StopWork()
{
  isEnded_ = true;
  for (const EventLoop::TimerId timer : timers_) {
    context_.loop_.CancelTimer(timer);
  }
  for (const Scheduler::Ticket ticket : waiting_) {
    context_.scheduler_.Cancel(ticket);
  }
  waiting_.clear();
  while (!running_.empty()) {
    running_.begin()->second.attempt_->Cancel();
    CloseAttempt(running_.begin()->first, AttemptEnd::Cancelled, "cancelled");
  }
}

void
RequestTask::End()
{
  // Deferred steps see isEnded_ and release what they hold, such as a slot.
  isSuspended_ = false;
  std::vector<std::function<void()>> deferred;
  deferred.swap(deferred_);
  for (const auto& step : deferred) {
    step();
  }
  const auto self = shared_from_this();
  if (hooks_.onEnded_) {
    const auto callback = std::move(hooks_.onEnded_);
    hooks_ = {};
    callback();
  }
}

Duration
RequestTask::Remaining() const
{
  return std::max(Duration(0),
                  request_.deadline_ - context_.loop_.GetClock().Now());
}

void
RequestTask::RunWhenResumed(std::function<void()> aStep)
{
  if (isSuspended_) {
    deferred_.push_back(std::move(aStep));
  } else {
    aStep();
  }
}

// Handover.

HandoverCandidate
RequestTask::Candidate() const
{
  HandoverCandidate candidate;
  const std::size_t parts = assembler_.Parts().size();
  candidate.request_ = request_.id_;
  candidate.size_ = Bytes(kHandoverOverheadBytes + request_.body_.size() +
                          log_->Size().Value());
  candidate.isSentUnrepeatable_ =
    !request_.isRepeatable_ && (!running_.empty() || isQueryingStatus_);
  if (!request_.model_) {
    return candidate;
  }
  candidate.computed_ =
    Tokens(parts + EstimateTokens(request_.model_->prompt_).Value());
  const std::uint64_t maxTokens = request_.model_->maxTokens_.Value();
  if (parts > 1 && maxTokens > parts && firstToken_ != MonotonicTime{}) {
    const Duration since = context_.loop_.GetClock().Now() - firstToken_;
    candidate.expectedEnd_ =
      since * std::int64_t(maxTokens - parts) / std::int64_t(parts - 1);
  }
  return candidate;
}

HandOver
RequestTask::Suspend()
{
  isSuspended_ = true;
  for (auto& [number, running] : running_) {
    running.attempt_->SetPaused(true);
  }
  HandOver message;
  message.request_ = request_.id_;
  message.workspace_ = request_.workspace_;
  message.service_ = request_.Name();
  message.keyDigest_ = request_.keyDigest_;
  message.bodyDigest_ = request_.bodyDigest_;
  message.method_ = ToString(request_.method_);
  message.target_ = request_.target_;
  message.contentType_ = request_.contentType_;
  message.body_ = request_.body_;
  message.accepted_ = request_.accepted_;
  message.remaining_ = Remaining();
  message.attempts_ = attempts_;
  message.isSent_ =
    !request_.isRepeatable_ && (!running_.empty() || isQueryingStatus_);
  message.owners_ = previousOwners_;
  message.owners_.push_back(context_.membership_.Members().self_);
  if (message.owners_.size() > kMaxOwners) {
    message.owners_.erase(message.owners_.begin());
  }
  if (request_.isRepeatable_) {
    message.tokens_ = assembler_.Parts();
  }
  return message;
}

void
RequestTask::Resume()
{
  isSuspended_ = false;
  for (auto& [number, running] : running_) {
    running.attempt_->SetPaused(false);
  }
  std::vector<std::function<void()>> deferred;
  deferred.swap(deferred_);
  for (const auto& step : deferred) {
    RunWhenResumed(step);
  }
}

void
RequestTask::EndWithoutOutcome()
{
  if (isEnded_) {
    return;
  }
  const auto self = shared_from_this();
  StopWork();
  log_->MarkMoved();
  End();
}

void
RequestTask::Adopt(const HandOver& aMessage)
{
  Begin();
  attempts_ = aMessage.attempts_;
  previousOwners_ = aMessage.owners_;
  hasRun_ = !attempts_.empty();
  assembler_.BeginAttempt(AttemptNumber(0));
  for (const std::string& token : aMessage.tokens_) {
    assembler_.Accept(AttemptNumber(0), assembler_.Next(), token);
    log_->Append(token);
  }
  if (!aMessage.isSent_) {
    hasRun_ = hasRun_ && request_.isRepeatable_;
    Claim();
    return;
  }
  // Prevents the deadline and another handover from treating the request as not
  // sent.
  isQueryingStatus_ = true;
  if (!attempts_.empty()) {
    excluded_.push_back(attempts_.back().server_);
  }
  TakeOverClaim(1);
}

// Takes over the claim before anything else is done for a request whose call
// was sent; otherwise its registrar would settle it as a request of a dead
// owner.
void
RequestTask::TakeOverClaim(unsigned aTries)
{
  context_.ledger_.Register(
    MakeClaim(),
    kClaimTimeout,
    [self = shared_from_this(), aTries](RegisterReply aReply) {
      self->RunWhenResumed([self, reply = std::move(aReply), aTries] {
        self->OnClaimTakenOver(reply, aTries);
      });
    });
}

void
RequestTask::OnClaimTakenOver(const RegisterReply& aReply, unsigned aTries)
{
  if (isEnded_) {
    return;
  }
  if (aReply.status_ == RegisterStatus::Unavailable) {
    // Without the claim, no outcome may be recorded here; the registrar settles
    // the request.
    aTries < kMaxClaimTakeOvers ? TakeOverClaim(aTries + 1)
                                : EndWithoutOutcome();
    return;
  }
  if (aReply.status_ != RegisterStatus::Granted) {
    ReportClaimConflict(aReply);
    return;
  }
  Server server;
  server.id_ = attempts_.empty() ? ServerId() : attempts_.back().server_;
  for (const Server& listed : context_.servers_.Servers()) {
    if (listed.id_ == server.id_) {
      QueryStatus(listed);
      return;
    }
  }
  OnStatus(server, StatusAnswer{});
}

} // namespace sycamoreward
