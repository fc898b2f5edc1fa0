#include "base/Clock.h"

namespace sycamoreward {

namespace {

// Wall time at which each ManualClock starts. It is an arbitrary fixed date, so
// that tests print the same times in every run.
constexpr std::chrono::seconds kManualWallStart{ 1'700'000'000 };

} // namespace

MonotonicTime
SystemClock::Now() const
{
  return MonotonicTime(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime
SystemClock::Wall() const
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::system_clock::now());
}

void
SystemClock::OnAdvance(std::function<void()> /*aObserver*/)
{
}

MonotonicTime
ManualClock::Now() const
{
  return MonotonicTime(elapsed_);
}

WallTime
ManualClock::Wall() const
{
  return WallTime(kManualWallStart + elapsed_);
}

void
ManualClock::OnAdvance(std::function<void()> aObserver)
{
  observers_.push_back(std::move(aObserver));
}

void
ManualClock::Advance(Duration aStep)
{
  elapsed_ += aStep;
  for (const auto& observer : observers_) {
    observer();
  }
}

} // namespace sycamoreward
