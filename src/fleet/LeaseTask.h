#pragma once

// Acquires and renews a lease stored in the platform's table.

#include "base/Clock.h"
#include "base/Ids.h"
#include "fleet/Lease.h"
#include "runtime/EventLoop.h"
#include "store/Table.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamoreward {

class LeaseTask
{
public:
  // aIsCandidate returns whether this instance should try to hold the lease; a
  // holder that is no longer a candidate stops renewing. aMakeWriteToken
  // returns a new, unique token for each write.
  LeaseTask(EventLoop& aLoop,
            Table& aTable,
            std::string aLeaseName,
            InstanceId aSelf,
            LeaseTerms aTerms,
            std::function<bool()> aIsCandidate,
            std::function<std::string()> aMakeWriteToken);
  ~LeaseTask();
  LeaseTask(const LeaseTask&) = delete;
  LeaseTask& operator=(const LeaseTask&) = delete;

  // Returns the lease while it is valid. Call this right before each operation
  // that needs the lease: the process may have been suspended since the last
  // call.
  std::optional<HeldLease> Held() const;

private:
  void Tick();
  void ReadRow();
  void TakeOver();
  void Renew();
  void WriteRow(const LeaseRow& aRow);
  void ReadBack(const LeaseRow& aWritten,
                const std::string& aToken,
                MonotonicTime aSent);
  void ScheduleTick(Duration aDelay);

  EventLoop& loop_;
  Table& table_;
  std::string name_;
  InstanceId self_;
  LeaseTerms terms_;
  std::function<bool()> isCandidate_;
  std::function<std::string()> makeWriteToken_;
  LeaseObservation observation_;
  std::optional<HeldLease> held_;
  EventLoop::TimerId timer_ = 0;
  // Table callbacks hold a weak reference and do nothing once the task has been
  // destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
