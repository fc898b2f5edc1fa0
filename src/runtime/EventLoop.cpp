#include "runtime/EventLoop.h"

#include "base/Error.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>

namespace sycamoreward {

namespace {

void
InitializeProcessOnce()
{
  static const bool kIsInitialized = [] {
    evthread_use_pthreads();
    // Makes a write to a closed connection return an error instead of ending
    // the process.
    signal(SIGPIPE, SIG_IGN);
    return true;
  }();
  (void)kIsInitialized;
}

timeval
ToTimeval(Duration aDuration)
{
  const auto count = std::max<Duration::rep>(aDuration.count(), 0);
  return timeval{ static_cast<time_t>(count / 1'000'000),
                  static_cast<suseconds_t>(count % 1'000'000) };
}

} // namespace

EventLoop::EventLoop(Clock& aClock)
  : clock_(aClock)
{
  InitializeProcessOnce();
  // By default, libevent rounds timers to the cached loop time.
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  // Saves the system calls when interest in a socket is set and cleared within
  // one iteration of the loop. The flag does not support duplicated file
  // descriptors; no socket here is duplicated.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  wakeFd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (base_ == nullptr || wakeFd_ < 0) {
    throw InternalError("start event loop", "", "Can't create an event loop.");
  }
  timerEvent_ = event_new(
    base_,
    -1,
    0,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<EventLoop*>(aSelf)->RunDueTimers();
    },
    this);
  wakeEvent_ = event_new(
    base_,
    wakeFd_,
    EV_READ | EV_PERSIST,
    [](evutil_socket_t aFd, short, void* aSelf) {
      std::uint64_t count = 0;
      (void)!read(aFd, &count, sizeof count);
      auto* self = static_cast<EventLoop*>(aSelf);
      self->RunPosted();
      self->RunDueTimers();
    },
    this);
  event_add(wakeEvent_, nullptr);
  clock_.OnAdvance([this] { Wake(); });
}

EventLoop::~EventLoop()
{
  // Callbacks may own objects whose destructors use the loop.
  RunPosted();
  timers_.clear();
  posted_.clear();
  for (event* signalEvent : signalEvents_) {
    event_free(signalEvent);
  }
  event_free(timerEvent_);
  event_free(wakeEvent_);
  event_base_free(base_);
  close(wakeFd_);
}

EventLoop::TimerId
EventLoop::CallAfter(Duration aDelay, Callback aCallback)
{
  const TimerId id = nextTimer_++;
  const MonotonicTime deadline = clock_.Now() + aDelay;
  timers_.emplace(std::make_pair(deadline, id), std::move(aCallback));
  timerDeadlines_.emplace(id, deadline);
  if (timers_.begin()->first.second == id) {
    ArmTimer();
  }
  return id;
}

void
EventLoop::CancelTimer(TimerId aTimer)
{
  const auto found = timerDeadlines_.find(aTimer);
  if (found == timerDeadlines_.end()) {
    return;
  }
  timers_.erase(std::make_pair(found->second, aTimer));
  timerDeadlines_.erase(found);
}

void
EventLoop::Post(Callback aCallback)
{
  bool wasEmpty = false;
  {
    const std::lock_guard<std::mutex> lock(postedMutex_);
    wasEmpty = posted_.empty();
    posted_.push_back(std::move(aCallback));
  }
  if (wasEmpty) {
    Wake();
  }
}

void
EventLoop::Run()
{
  isStopped_ = false;
  while (!isStopped_) {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY | EVLOOP_ONCE);
  }
}

void
EventLoop::RunReady()
{
  event_base_loop(base_, EVLOOP_NONBLOCK);
}

bool
EventLoop::RunUntil(const std::function<bool()>& aDone, Duration aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  bool hasTimedOut = false;
  event* timeoutEvent = event_new(
    base_,
    -1,
    0,
    [](evutil_socket_t, short, void* aFlag) {
      *static_cast<bool*>(aFlag) = true;
    },
    &hasTimedOut);
  const timeval timeout = ToTimeval(aTimeout);
  event_add(timeoutEvent, &timeout);
  while (!aDone() && !hasTimedOut && std::chrono::steady_clock::now() < end) {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY | EVLOOP_ONCE);
  }
  event_free(timeoutEvent);
  return aDone();
}

void
EventLoop::Stop()
{
  Post([this] { isStopped_ = true; });
}

void
EventLoop::OnSignal(int aNumber, Callback aCallback)
{
  signalCallbacks_.push_back(std::make_unique<Callback>(std::move(aCallback)));
  event* signalEvent = evsignal_new(
    base_,
    aNumber,
    [](evutil_socket_t, short, void* aArgument) {
      (*static_cast<Callback*>(aArgument))();
    },
    signalCallbacks_.back().get());
  event_add(signalEvent, nullptr);
  signalEvents_.push_back(signalEvent);
}

void
EventLoop::RunDueTimers()
{
  const MonotonicTime now = clock_.Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto first = timers_.begin();
    Callback callback = std::move(first->second);
    timerDeadlines_.erase(first->first.second);
    timers_.erase(first);
    callback();
  }
  ArmTimer();
}

void
EventLoop::RunPosted()
{
  std::vector<Callback> ready;
  {
    const std::lock_guard<std::mutex> lock(postedMutex_);
    ready.swap(posted_);
  }
  for (auto& callback : ready) {
    callback();
  }
}

void
EventLoop::ArmTimer()
{
  if (timers_.empty()) {
    event_del(timerEvent_);
    return;
  }
  const timeval delay = ToTimeval(timers_.begin()->first.first - clock_.Now());
  event_add(timerEvent_, &delay);
}

void
EventLoop::Wake()
{
  const std::uint64_t one = 1;
  (void)!write(wakeFd_, &one, sizeof one);
}

} // namespace sycamoreward
