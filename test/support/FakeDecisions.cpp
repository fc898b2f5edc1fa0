// Stands for the retry rules and the outcome names until their packages are in
// this branch; to be removed when they are merged.

#include "ledger/Outcome.h"
#include "retries/Failure.h"

namespace sycamoreward {

const char*
ToString(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Completed:
      return "completed";
    case OutcomeKind::Failed:
      return "failed";
    case OutcomeKind::NotRun:
      return "not_run";
    case OutcomeKind::Unknown:
      return "unknown";
  }
  return "";
}

FailureClass
ClassifyFailure(const AttemptFailure& aFailure)
{
  if (aFailure.end_ == HttpEnd::NotConnected) {
    return FailureClass::NotSent;
  }
  if (aFailure.isLeaving_ || aFailure.isWrongVersion_) {
    return FailureClass::Moved;
  }
  if (aFailure.isConfirmedNotRun_) {
    return FailureClass::Overloaded;
  }
  return aFailure.end_ == HttpEnd::Complete ? FailureClass::ServerError
                                            : FailureClass::Transport;
}

RetryAction
DecideRetry(const RetryQuestion& aQuestion)
{
  if (aQuestion.class_ == FailureClass::ServerError ||
      aQuestion.remaining_ <= Duration(0) || !aQuestion.hasBudget_ ||
      aQuestion.attempts_ > 4) {
    return RetryAction::GiveUp;
  }
  if (aQuestion.class_ == FailureClass::Overloaded) {
    return aQuestion.attempts_ == 1 ? RetryAction::RetryAfterBackoff
                                    : RetryAction::GiveUp;
  }
  return aQuestion.class_ == FailureClass::Transport && !aQuestion.isRepeatable_
           ? RetryAction::AskServer
           : RetryAction::RetryElsewhere;
}

bool
DrawsOnBudget(FailureClass aClass)
{
  return aClass != FailureClass::NotSent;
}

} // namespace sycamoreward
