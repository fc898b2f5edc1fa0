#pragma once

// An event loop with timers and a queue of posted callbacks. A task belongs to
// one loop, and its state is accessed on that loop's thread only.

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

struct event;
struct event_base;

namespace sycamoreward {

class EventLoop
{
public:
  using Callback = std::function<void()>;
  using TimerId = std::uint64_t;

  explicit EventLoop(Clock& aClock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Clock& GetClock() { return clock_; }
  event_base* Base() { return base_; }

  // Calls aCallback once on this loop, after the clock has advanced by aDelay.
  TimerId CallAfter(Duration aDelay, Callback aCallback);

  // Has no effect if the timer has already fired.
  void CancelTimer(TimerId aTimer);

  // Calls aCallback on this loop after the current event. Thread-safe;
  // callbacks posted by one thread keep their order.
  void Post(Callback aCallback);

  // Handles events until Stop is called.
  void Run();

  // Handles the events that are ready and returns without waiting.
  void RunReady();

  // Handles events until aDone returns true or aTimeout of real time has
  // passed. Returns whether aDone returned true. For tests and tools.
  bool RunUntil(const std::function<bool()>& aDone, Duration aTimeout);

  // Ends Run. Safe to call from any thread and from signal callbacks.
  void Stop();

  // Calls aCallback on this loop each time the process receives signal aNumber.
  void OnSignal(int aNumber, Callback aCallback);

private:
  void RunDueTimers();
  void RunPosted();
  void ArmTimer();
  void Wake();

  Clock& clock_;
  event_base* base_;
  event* timerEvent_;
  event* wakeEvent_;
  int wakeFd_;
  bool isStopped_ = false;
  TimerId nextTimer_ = 1;
  std::map<std::pair<MonotonicTime, TimerId>, Callback> timers_;
  std::unordered_map<TimerId, MonotonicTime> timerDeadlines_;
  std::mutex postedMutex_;
  std::vector<Callback> posted_;
  std::vector<event*> signalEvents_;
  std::vector<std::unique_ptr<Callback>> signalCallbacks_;
};

} // namespace sycamoreward
