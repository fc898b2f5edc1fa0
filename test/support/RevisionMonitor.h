#pragma once

// Polls the revision of all entry instances of a deployment and checks that no
// revision decreases.

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

  // Returns the last revision reported by the current process of an entry
  // instance.
  std::uint64_t Revision(unsigned aEntry) const;

  // Returns whether the current process has reported that it is ready.
  bool IsReady(unsigned aEntry) const;

  // Stops polling an entry instance whose process has ended.
  void OnStopped(unsigned aEntry);

  // Resumes polling a restarted entry instance. It must not become ready with a
  // lower revision than any instance has reported so far.
  void OnRestarted(unsigned aEntry);

  // Describes the violations seen: a revision that decreased, or a restarted
  // instance that was ready with an old one. Empty if there were none.
  const std::string& Violations() const { return violations_; }

private:
  struct Entry
  {
    std::uint64_t revision_ = 0;
    std::uint64_t minReadyRevision_ = 0;
    bool isReady_ = false;
    // Incremented when the process stops or restarts, to ignore replies to
    // earlier polls.
    unsigned run_ = 0;
  };

  void PollReadiness(unsigned aEntry, unsigned aRun);
  void PollRevision(unsigned aEntry, unsigned aRun, bool aIsReady);
  void ScheduleNextPoll(unsigned aEntry, unsigned aRun);
  void CheckRevision(unsigned aEntry, std::uint64_t aRevision, bool aIsReady);

  Deployment& deployment_;
  std::vector<Entry> entries_;
  std::string violations_;
  // Lets callbacks detect that the monitor has been destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
