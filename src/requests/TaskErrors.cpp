#include "requests/TaskErrors.h"

#include "http/RunPromise.h"

namespace sycamoreward {

namespace {

CallerError
MakeError(int aStatus,
          const char* aCode,
          const char* aStep,
          Ran aRan,
          std::string aMessage)
{
  CallerError error;
  error.status_ = aStatus;
  error.code_ = aCode;
  error.step_ = aStep;
  error.ran_ = aRan;
  error.message_ = std::move(aMessage);
  return error;
}

CallerError
// The error for a finished request whose answer is not stored.
FinishedError(const Outcome& aOutcome)
{
  switch (aOutcome.kind_) {
    case OutcomeKind::NotRun:
      return MakeError(503,
                       "not_run",
                       "claim",
                       Ran::NotRun,
                       "The request with this key was not run.");
    case OutcomeKind::Failed:
      return MakeError(502,
                       "request_failed",
                       "claim",
                       Ran::Ran,
                       "The request with this key ran and failed.");
    case OutcomeKind::Unknown:
      return MakeError(502,
                       "outcome_unknown",
                       "claim",
                       Ran::Unknown,
                       "The request with this key was sent, and its server "
                       "can't say whether it ran.");
    case OutcomeKind::Completed:
      break;
  }
  return MakeError(410,
                   "answer_not_kept",
                   "claim",
                   Ran::Ran,
                   "The request with this key ran; its answer is not kept.");
}

} // namespace

CallerError
RefusalError(const Grant& aGrant, Ran aRan)
{
  CallerError error;
  switch (aGrant.refusal_) {
    case Refusal::WorkspaceOverShare:
      error = MakeError(429,
                        "over_share",
                        "choose",
                        aRan,
                        "The workspace exceeds its share of the capacity.");
      break;
    case Refusal::NoServer:
      error =
        MakeError(503,
                  "no_server",
                  "choose",
                  aRan,
                  "No backend server of the service accepts new requests.");
      break;
    case Refusal::Overloaded:
    case Refusal::None:
      error = MakeError(503,
                        "overloaded",
                        "choose",
                        aRan,
                        "The request would miss its deadline in the queue.");
      break;
  }
  error.status_ = http::StatusForCaller(error.status_, aRan != Ran::NotRun);
  error.retryAfter_ = aGrant.retryAfter_;
  return error;
}

CallerError
ClaimError()
{
  return MakeError(503,
                   "claim_unavailable",
                   "claim",
                   Ran::NotRun,
                   "The claim of the request could not be recorded in time; "
                   "the request was not sent.");
}

CallerError
DeadlineError(Ran aRan)
{
  return MakeError(504,
                   "deadline_exceeded",
                   "dispatch",
                   aRan,
                   "The deadline of the request has passed.");
}

CallerError
AttemptError(const AttemptReply& aReply, const std::string& aServer, Ran aRan)
{
  const bool isCallersFault = aReply.end_ == HttpEnd::Complete &&
                              aReply.status_ >= 400 && aReply.status_ < 500;
  // A request that no server ran can be sent again later.
  const int otherStatus = aRan == Ran::NotRun ? 503 : 502;
  CallerError error = MakeError(
    isCallersFault ? http::StatusForCaller(aReply.status_, aRan != Ran::NotRun)
                   : otherStatus,
    aReply.end_ == HttpEnd::Complete ? "server_error" : "server_unreachable",
    "stream",
    aRan,
    "");
  error.peer_ = aServer;
  error.message_ = aReply.end_ == HttpEnd::Complete
                     ? "The backend server replied with status " +
                         std::to_string(aReply.status_) + "."
                     : "The call to the backend server ended early: " +
                         std::string(ToString(aReply.end_)) + ".";
  return error;
}

CallerError
SentError(const std::string& aServer, Ran aRan)
{
  CallerError error =
    aRan == Ran::Ran
      ? MakeError(502,
                  "reply_lost",
                  "stream",
                  aRan,
                  "The request ran; the backend server has no stored reply.")
      : MakeError(502,
                  "outcome_unknown",
                  "stream",
                  aRan,
                  "The request was sent, and the backend server can't say "
                  "whether it ran. It is not sent again.");
  error.peer_ = aServer;
  return error;
}

CallerError
CallerGoneError(Ran aRan)
{
  return MakeError(
    http::StatusForCaller(503, aRan != Ran::NotRun),
    "caller_gone",
    "stream",
    aRan,
    "The request was cancelled because its caller disconnected.");
}

CallerError
KeyError(const RegisterReply& aReply)
{
  if (aReply.status_ == RegisterStatus::BodyMismatch) {
    return MakeError(422,
                     "key_reused",
                     "claim",
                     Ran::NotRun,
                     "The Idempotency-Key was used with another method, path "
                     "or body.");
  }
  if (aReply.status_ == RegisterStatus::Finished && aReply.outcome_) {
    return FinishedError(*aReply.outcome_);
  }
  return MakeError(
    503,
    "unsettled",
    "claim",
    Ran::Unknown,
    "The outcome of an earlier request with this key is pending.");
}

} // namespace sycamoreward
