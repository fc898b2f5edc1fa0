#pragma once

// Asks all entry instances of a deployment for their revision all the time and
// judges what they say.

#include "support/Deployment.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

class RevisionMonitor
{
public:
  explicit RevisionMonitor(Deployment& aDeployment);

  // The last revision that the present process of an entry instance told.
  std::uint64_t Revision(unsigned aEntry) const;

  // Whether the present process has told that it is ready.
  bool IsReady(unsigned aEntry) const;

  // The process of an entry instance has ended; it is asked nothing more.
  void OnStopped(unsigned aEntry);

  // An entry instance was started again. From now on it must not be ready with
  // a lower revision than any instance has told so far.
  void OnRestarted(unsigned aEntry);

  // What was wrong: a revision that went back, or a restarted instance that was
  // ready with an old one. Empty: nothing.
  const std::string& Violations() const { return violations_; }

private:
  struct Entry
  {
    std::uint64_t revision_ = 0;
    std::uint64_t minReadyRevision_ = 0;
    bool isReady_ = false;
    // Counts processes, so that replies of an earlier one are dropped.
    unsigned run_ = 0;
  };

  void PollReadiness(unsigned aEntry, unsigned aRun);
  void PollRevision(unsigned aEntry, unsigned aRun, bool aIsReady);
  void ScheduleNextPoll(unsigned aEntry, unsigned aRun);
  void CheckRevision(unsigned aEntry, std::uint64_t aRevision, bool aIsReady);

  Deployment& deployment_;
  std::vector<Entry> entries_;
  std::string violations_;
  // Lets callbacks find out that the monitor is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
