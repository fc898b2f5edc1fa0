#pragma once

// The clock interface used by all tasks. Tests use ManualClock, which only
// changes when Advance is called.

#include <chrono>
#include <functional>
#include <vector>

namespace sycamoreward {

using Duration = std::chrono::microseconds;

// Clock tag of MonotonicTime, which never decreases and is unrelated to wall
// time. It has no now().
struct MonotonicTag
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true; // NOLINT: name set by std::chrono
};
using MonotonicTime = std::chrono::time_point<MonotonicTag, Duration>;

// Time since the Unix epoch; for records and logs only.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

class Clock
{
public:
  virtual ~Clock() = default;
  virtual MonotonicTime Now() const = 0;
  virtual WallTime Wall() const = 0;

  // Calls aObserver each time a manual clock is advanced, so that an event loop
  // runs the timers that became due. SystemClock never calls it.
  virtual void OnAdvance(std::function<void()> aObserver) = 0;
};

class SystemClock final : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime Wall() const override;
  void OnAdvance(std::function<void()> aObserver) override;
};

class ManualClock final : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime Wall() const override;
  void OnAdvance(std::function<void()> aObserver) override;

  void Advance(Duration aStep);

private:
  Duration elapsed_{ 0 };
  std::vector<std::function<void()>> observers_;
};

} // namespace sycamoreward
