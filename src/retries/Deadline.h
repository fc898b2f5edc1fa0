#pragma once

// The time by which a caller needs the answer, and the header that forwards it.
// The header carries the time left rather than a point in time, since the
// clocks of instances differ.

#include "base/Clock.h"

#include <optional>
#include <string>

namespace sycamoreward {

// The value is the time left in milliseconds.
constexpr const char* kDeadlineHeader = "Sycamoreward-Deadline-Ms";

struct Deadline
{
  MonotonicTime at_{};
};

// Returns aNow plus the deadline of the class, or of the caller if that is
// shorter.
Deadline
MakeDeadline(MonotonicTime aNow,
             Duration aClassDeadline,
             std::optional<Duration> aCallerDeadline);

// Time until the deadline; 0 if it has passed.
Duration
TimeLeft(const Deadline& aDeadline, MonotonicTime aNow);

// Formats the value of kDeadlineHeader, rounded down to milliseconds.
std::string
FormatDeadline(Duration aTimeLeft);

// Parses the value of kDeadlineHeader. Empty for an empty value. Throws
// UserError if the value is not a whole number of milliseconds up to one day.
std::optional<Duration>
ParseDeadline(const std::string& aValue);

} // namespace sycamoreward
