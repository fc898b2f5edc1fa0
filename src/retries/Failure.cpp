#include "retries/Failure.h"

namespace sycamoreward {

namespace {

// Bound of the attempts of one request over all classes, so that a pool that
// refuses everywhere ends in an error and not in a loop.
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
  // A server that leaves without saying that the request did not run may have
  // run it. Moved would let an unrepeatable request run twice.
  if (aFailure.end_ != HttpEnd::Complete || isMoved) {
    return FailureClass::Transport;
  }
  // A reply that ended properly with a good status but without its end marker
  // is a truncated answer.
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
