#include "retries/Failure.h"

namespace sycamoreward {

namespace {

// Maximum number of attempts of one request, over all failure classes, so that
// a request ends with an error if every server of the pool refuses it.
constexpr unsigned kMaxAttempts = 6;

constexpr int kFirstErrorStatus = 400;

} // namespace

FailureClass
ClassifyFailure(const AttemptFailure& aFailure)
{
  if (aFailure.end_ == HttpEnd::NotConnected) {
    return FailureClass::NotSent;
  }
  const bool isMoved = aFailure.isLeaving_ || aFailure.isWrongVersion_;
  if (aFailure.isConfirmedNotRun_) {
    if (isMoved) {
      return FailureClass::Moved;
    }
    return aFailure.status_ == 429 || aFailure.status_ == 503
             ? FailureClass::Overloaded
             : FailureClass::NotSent;
  }
  // A leaving server that did not confirm that the request did not run may have
  // run it. Classifying this as Moved could run an unrepeatable request twice.
  if (aFailure.end_ != HttpEnd::Complete || isMoved) {
    return FailureClass::Transport;
  }
  // A complete reply with a success status but without its end marker is a
  // truncated answer.
  return aFailure.status_ >= kFirstErrorStatus ? FailureClass::ServerError
                                               : FailureClass::Transport;
}

RetryAction
DecideRetry(const RetryInput& aInput)
{
  if (aInput.class_ == FailureClass::ServerError) {
    return RetryAction::GiveUp;
  }
  if (aInput.class_ == FailureClass::Transport && !aInput.isRepeatable_) {
    return RetryAction::AskServer;
  }
  const bool lacksBudget =
    ConsumesRetryBudget(aInput.class_) && !aInput.hasBudget_;
  if (aInput.attempts_ >= kMaxAttempts || aInput.remaining_ <= Duration(0) ||
      lacksBudget) {
    return RetryAction::GiveUp;
  }
  if (aInput.class_ == FailureClass::Overloaded) {
    return aInput.attempts_ == 1 ? RetryAction::RetryAfterBackoff
                                 : RetryAction::GiveUp;
  }
  return RetryAction::RetryElsewhere;
}

bool
ConsumesRetryBudget(FailureClass aClass)
{
  return aClass == FailureClass::Overloaded ||
         aClass == FailureClass::Transport;
}

} // namespace sycamoreward
