// Property tests for the retry rules, the retry budget and the hedge delay.

#include "retries/Failure.h"
#include "retries/Hedge.h"
#include "retries/RetryBudget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamoreward;

namespace {

AttemptFailure
AnyFailure()
{
  AttemptFailure failure;
  failure.end_ = *rc::gen::element(
    HttpEnd::Complete, HttpEnd::NotConnected, HttpEnd::Broken, HttpEnd::Silent);
  failure.status_ = *rc::gen::element(0, 200, 400, 409, 429, 500, 503);
  failure.isConfirmedNotRun_ = *rc::gen::arbitrary<bool>();
  failure.isLeaving_ = *rc::gen::arbitrary<bool>();
  failure.isWrongVersion_ = *rc::gen::arbitrary<bool>();
  return failure;
}

} // namespace

// Guards against running an unrepeatable request twice (promise P4).
Test(Retries, UnrepeatableWorkIsNeverSentAgainUnlessItDidNotRun)
{
  cr_assert(rc::check([] {
    const AttemptFailure failure = AnyFailure();
    RetryInput input;
    input.class_ = ClassifyFailure(failure);
    input.isRepeatable_ = false;
    input.attempts_ = *rc::gen::inRange(1U, 5U);
    input.hasBudget_ = *rc::gen::arbitrary<bool>();
    input.remaining_ = std::chrono::seconds(*rc::gen::inRange(0, 10));
    const RetryAction action = DecideRetry(input);
    const bool isSentAgain = action == RetryAction::RetryElsewhere ||
                             action == RetryAction::RetryAfterBackoff;
    const bool didNotRun =
      failure.end_ == HttpEnd::NotConnected || failure.isConfirmedNotRun_;
    RC_ASSERT(!isSentAgain || didNotRun);
  }));
}

// Guards against reporting a request as failed while its server may still have
// run it.
Test(Retries, UnrepeatableTransportFailureAsksTheServer)
{
  cr_assert(rc::check([] {
    RetryInput input;
    input.class_ = FailureClass::Transport;
    input.isRepeatable_ = false;
    input.hasBudget_ = *rc::gen::arbitrary<bool>();
    input.remaining_ = std::chrono::seconds(*rc::gen::inRange(0, 10));
    RC_ASSERT(DecideRetry(input) == RetryAction::AskServer);
  }));
}

// Guards against endless retries when every server of a pool refuses.
Test(Retries, EachRequestEndsAfterABoundedNumberOfAttempts)
{
  cr_assert(rc::check([] {
    RetryInput input;
    input.class_ = *rc::gen::element(FailureClass::NotSent,
                                     FailureClass::Moved,
                                     FailureClass::Overloaded,
                                     FailureClass::Transport);
    input.remaining_ = std::chrono::hours(1);
    input.attempts_ = *rc::gen::inRange(6U, 100U);
    RC_ASSERT(DecideRetry(input) == RetryAction::GiveUp);
  }));
}

// Guards against retries that multiply the load of a pool that is already
// failing.
Test(Retries, RetriesNeverExceedTheBudget)
{
  cr_assert(rc::check([] {
    const double fraction = *rc::gen::inRange(0, 50) / 100.0;
    RetryBudget budget = MakeRetryBudget(fraction);
    const double reserve = budget.reserve_;
    double requests = 0;
    double retries = 0;
    for (const bool isRequest :
         *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
      if (isRequest) {
        CountRequest(budget);
        ++requests;
      } else if (TakeRetry(budget)) {
        ++retries;
      }
      RC_ASSERT(retries <= reserve + fraction * requests + 1e-6);
    }
  }));
}

Test(Retries, HedgeDelayIsNearTheObservedQuantile)
{
  FirstByteTimes times;
  for (int round = 0; round < 500; ++round) {
    ObserveFirstByte(times,
                     std::chrono::milliseconds(round % 20 == 0 ? 400 : 20));
  }
  const auto delay = DecideHedgeDelay(
    times, std::chrono::milliseconds(310), std::chrono::seconds(10));
  cr_assert(delay.has_value());
  cr_assert_geq(delay->count(), 20000);
  cr_assert_leq(delay->count(), 26000);
}

Test(Retries, NoHedgeWhenDelayExceedsDeadline)
{
  cr_assert_not(DecideHedgeDelay(FirstByteTimes{},
                                 std::chrono::milliseconds(310),
                                 std::chrono::milliseconds(200))
                  .has_value());
}
