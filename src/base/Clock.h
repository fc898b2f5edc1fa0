#pragma once

// The clock that all tasks read. Tests use ManualClock, which stands still
// until it is advanced.

#include <chrono>
#include <functional>
#include <vector>

namespace sycamoreward {

using Duration = std::chrono::microseconds;

// Time that never goes back; unrelated to wall time. Tag for time_point only.
struct MonotonicTag
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true; // NOLINT: name set by std::chrono
};
using MonotonicTime = std::chrono::time_point<MonotonicTag, Duration>;

// Wall time since the Unix epoch, for records and logs only.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

class Clock
{
public:
  virtual ~Clock() = default;
  virtual MonotonicTime Now() const = 0;
  virtual WallTime Wall() const = 0;

  // Calls aObserver after each jump of a manual clock, so that an event loop
  // runs the timers that became due. A system clock never calls it.
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
