#pragma once

// Entry instances that report usage while the store returns from older copies
// and instances are lost and restarted. Counts what the platform accepts.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamoreward {

struct DutyScenario
{
  std::size_t instances_ = 3;
  double seconds_ = 45;
  // Mean number of each, at random moments.
  double returns_ = 2;
  double restarts_ = 6;
  // Losses of a third of the instances at once, which stay away for some
  // seconds. Half of them come with a return of the store.
  double losses_ = 1;
  // Fraction of the calls of the platform whose answer is lost.
  double lostAnswers_ = 0.1;
};

struct DutyOutcome
{
  // Windows that were accepted with different counts, and epochs that two
  // instances used, in words.
  std::vector<std::string> violations_;
  // Windows that were accepted, and all windows in which requests began early
  // enough to be reported.
  std::size_t reported_ = 0;
  std::size_t due_ = 0;
};

// Plays aScenario on a paused clock.
DutyOutcome
PlayDuties(const DutyScenario& aScenario, std::uint64_t aSeed);

} // namespace sycamoreward
