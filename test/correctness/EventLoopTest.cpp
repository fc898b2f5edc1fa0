// Timers follow the clock that the loop was given.

#include "runtime/EventLoop.h"
#include "base/Clock.h"

#include <criterion/criterion.h>

#include <vector>

using namespace sycamoreward;

Test(EventLoop, TimersRunInOrderWhenTheClockIsAdvanced)
{
  ManualClock clock;
  EventLoop loop(clock);
  std::vector<int> ran;
  loop.CallAfter(std::chrono::seconds(2), [&] { ran.push_back(2); });
  loop.CallAfter(std::chrono::seconds(1), [&] { ran.push_back(1); });
  const auto cancelled =
    loop.CallAfter(std::chrono::seconds(1), [&] { ran.push_back(9); });
  loop.CancelTimer(cancelled);
  loop.RunReady();
  cr_assert(ran.empty());
  clock.Advance(std::chrono::seconds(1));
  loop.RunReady();
  cr_assert_eq(ran.size(), 1U);
  clock.Advance(std::chrono::seconds(5));
  loop.RunReady();
  cr_assert_eq(ran.size(), 2U);
  cr_assert_eq(ran[0], 1);
  cr_assert_eq(ran[1], 2);
}
