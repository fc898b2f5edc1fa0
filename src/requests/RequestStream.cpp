// RequestTask, middle steps: streaming the answer and handling failed attempts.

#include "http/RunPromise.h"
#include "requests/BackendCall.h"
#include "requests/RequestTask.h"
#include "requests/TaskErrors.h"

namespace sycamoreward {

namespace {

// Delay before the next attempt when the pool is full.
constexpr Duration kBackoff = std::chrono::milliseconds(100);
constexpr std::size_t kMaxExcluded = 8;

// Returns the metric label for the reason of a retry.
const char*
ReasonOf(FailureClass aClass)
{
  switch (aClass) {
    case FailureClass::NotSent:
      return "not_sent";
    case FailureClass::Moved:
      return "moved";
    case FailureClass::Overloaded:
      return "overloaded";
    case FailureClass::Transport:
      return "transport";
    case FailureClass::ServerError:
      return "server_error";
  }
  return "";
}

} // namespace

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
  const bool isUsable = ApplyEvents(running, aEvents);
  const std::size_t count = assembler_.Parts().size() - before;
  context_.scheduler_.TokensArrived(running.ticket_, Tokens(count));
  if (assembler_.IsComplete() && running.hasEndMark_) {
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

// The first attempt that sends data provides the whole answer; other attempts
// are cancelled.
void
RequestTask::SelectWinner(AttemptNumber aAttempt, Running& aRunning)
{
  aRunning.hasFirstByte_ = true;
  const MonotonicTime now = context_.loop_.GetClock().Now();
  context_.scheduler_.FirstByte(aRunning.ticket_, now - aRunning.sent_);
  firstToken_ = now;
  if (context_.metrics_ != nullptr) {
    context_.metrics_->ObserveFirstByte(
      request_.Name(), context_.loop_.GetClock().Wall() - request_.accepted_);
  }
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

// Adds events to the answer. Returns false when the attempt can no longer
// complete it: a token is missing or the answer exceeds its limits.
bool
RequestTask::ApplyEvents(Running& aRunning,
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
    if (verdict == PartVerdict::Gap || log_->Size().Value() > kMaxAnswerBytes ||
        assembler_.Parts().size() > kMaxAnswerTokens) {
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
    if (http::PromisesNoRun(aReply.status_)) {
      // The server did not deny the run, so its status is not passed on.
      GiveUp(AttemptError(aReply, server, Ran::Ran), "reply of " + server);
    } else {
      CompletePlain(aReply, "reply of " + server);
    }
    return;
  }
  AttemptReply reply = aReply;
  if (isAnswer && aReply.status_ == 200) {
    // The stream ended without its end mark or before all of its tokens were
    // received.
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
  const bool hasProgress = running_.at(aAttempt).hasFirstByte_;
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
  const RetryAction action = Decide(kind, hasProgress);
  const bool isRetry = action == RetryAction::RetryElsewhere ||
                       action == RetryAction::RetryAfterBackoff;
  if (context_.metrics_ != nullptr && isRetry) {
    context_.metrics_->CountRetry(request_.Name(), ReasonOf(kind));
  }
  switch (action) {
    case RetryAction::RetryElsewhere:
      Choose(false);
      return;
    case RetryAction::RetryAfterBackoff:
      timers_.push_back(
        context_.loop_.CallAfter(kBackoff, [self = shared_from_this()] {
          self->RunWhenResumed([self] {
            if (!self->isEnded_) {
              self->Choose(false);
            }
          });
        }));
      return;
    case RetryAction::AskServer:
      QueryStatus(server);
      return;
    case RetryAction::GiveUp:
      GiveUp(AttemptError(aReply, server.id_.Value(), RanSoFar()),
             "call to " + server.id_.Value() + " failed");
      return;
  }
}

RetryAction
RequestTask::Decide(FailureClass aClass, bool aHasProgress)
{
  if (!request_.isRepeatable_ && aClass == FailureClass::Transport) {
    // Overrides the retry rules: a call that may have run is not sent again
    // unless its server confirms that it did not run.
    return RetryAction::AskServer;
  }
  if (!request_.isRepeatable_ && aClass == FailureClass::ServerError) {
    return RetryAction::GiveUp;
  }
  RetryInput input;
  input.class_ = aClass;
  input.isRepeatable_ = request_.isRepeatable_;
  input.attempts_ = unsigned(attempts_.size());
  input.remaining_ = Remaining();
  // A stream that has started is resumed at the next token, so moving it
  // repeats no work and needs no retry budget. With a budget, the failure of
  // one engine would end most of its streams.
  input.hasBudget_ = aHasProgress || !ConsumesRetryBudget(aClass) ||
                     context_.scheduler_.TakeRetry(request_.service_);
  return DecideRetry(input);
}

void
RequestTask::QueryStatus(const Server& aServer)
{
  if (request_.service_.statusPath_.empty()) {
    OnStatus(aServer, StatusAnswer{});
    return;
  }
  isQueryingStatus_ = true;
  QueryWhetherRan(context_,
                  aServer.address_,
                  StatusTarget(request_.service_.statusPath_, request_.id_),
                  [self = shared_from_this(), aServer](StatusAnswer aAnswer) {
                    self->RunWhenResumed([self, aServer, aAnswer] {
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
  isQueryingStatus_ = false;
  const std::string server = aServer.id_.Value();
  if (aAnswer.ran_ == Ran::NotRun) {
    hasRun_ = false;
    if (!attempts_.empty()) {
      attempts_.back().end_ = "server says not run";
    }
    RetryInput input;
    input.class_ = FailureClass::NotSent;
    input.isRepeatable_ = false;
    input.attempts_ = unsigned(attempts_.size());
    input.remaining_ = Remaining();
    if (DecideRetry(input) == RetryAction::GiveUp) {
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
  // An unrepeatable call that was sent continues until its outcome is known.
  const bool isSentOnce =
    !request_.isRepeatable_ && (!running_.empty() || isQueryingStatus_);
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
