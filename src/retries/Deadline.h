#pragma once

// The time until which a caller wants an answer, and the header that passes it
// on. The header holds the time left and not a moment, since clocks of
// instances differ.

#include "base/Clock.h"

#include <optional>
#include <string>

namespace sycamoreward {

// Milliseconds left.
constexpr const char* kDeadlineHeader = "Sycamoreward-Deadline-Ms";

struct Deadline
{
  MonotonicTime at_{};
};

// The class's deadline, or the caller's when that is shorter.
Deadline
MakeDeadline(MonotonicTime aNow,
             Duration aClassDeadline,
             std::optional<Duration> aCallerDeadline);

// Never below 0.
Duration
TimeLeft(const Deadline& aDeadline, MonotonicTime aNow);

// Value of kDeadlineHeader, rounded down.
std::string
FormatDeadline(Duration aTimeLeft);

// Empty for an empty value. Throws UserError when the value is no whole number
// of milliseconds up to one day.
std::optional<Duration>
ParseDeadline(const std::string& aValue);

} // namespace sycamoreward
