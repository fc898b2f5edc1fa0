#include "retries/Deadline.h"

#include "base/Error.h"

#include <algorithm>
#include <charconv>

namespace sycamoreward {

namespace {

constexpr std::int64_t kMaxMilliseconds = 24LL * 3600 * 1000;

} // namespace

Deadline
MakeDeadline(MonotonicTime aNow,
             Duration aClassDeadline,
             std::optional<Duration> aCallerDeadline)
{
  return { aNow +
           std::min(aClassDeadline, aCallerDeadline.value_or(aClassDeadline)) };
}

Duration
TimeLeft(const Deadline& aDeadline, MonotonicTime aNow)
{
  return std::max(Duration(0), aDeadline.at_ - aNow);
}

std::string
FormatDeadline(Duration aTimeLeft)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeLeft).count());
}

std::optional<Duration>
ParseDeadline(const std::string& aValue)
{
  if (aValue.empty()) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const char* end = aValue.data() + aValue.size();
  const auto result = std::from_chars(aValue.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < 0 ||
      value > kMaxMilliseconds) {
    throw UserError("accept",
                    "",
                    "The header " + std::string(kDeadlineHeader) + " is \"" +
                      aValue +
                      "\"; it must be a whole number of milliseconds up to " +
                      std::to_string(kMaxMilliseconds) + ".");
  }
  return std::chrono::milliseconds(value);
}

} // namespace sycamoreward
