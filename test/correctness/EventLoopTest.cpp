// Tests of timers, posted callbacks and stopping of the event loop.

#include "runtime/EventLoop.h"
#include "base/Clock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <thread>
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

// Guards against posted callbacks that are lost or reordered when several
// threads post at the same time.
Test(EventLoop, PostsFromEachThreadKeepTheirOrder)
{
  constexpr int kThreads = 4;
  constexpr int kPosts = 500;
  SystemClock clock;
  EventLoop loop(clock);
  std::vector<std::vector<int>> seen(kThreads);
  int left = kThreads * kPosts;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int post = 0; post < kPosts; ++post) {
        loop.Post([&, thread, post] {
          seen[thread].push_back(post);
          --left;
        });
      }
    });
  }
  cr_assert(loop.RunUntil([&] { return left == 0; }, std::chrono::seconds(20)));
  for (auto& thread : threads) {
    thread.join();
  }
  for (const auto& posts : seen) {
    cr_assert(std::is_sorted(posts.begin(), posts.end()));
  }
}

// Guards against a loop that waits for events and does not notice a Stop from
// another thread.
Test(EventLoop, StopFromAnotherThreadEndsTheLoop)
{
  SystemClock clock;
  EventLoop loop(clock);
  std::thread stopper;
  loop.Post([&] { stopper = std::thread([&] { loop.Stop(); }); });
  loop.Run();
  stopper.join();
}
