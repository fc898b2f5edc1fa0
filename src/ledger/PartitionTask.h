#pragma once

// Serves one partition of the ledger: reads the log, batches entries, appends
// rows and answers registrations.

#include "ledger/ActiveKeys.h"
#include "ledger/Journal.h"
#include "ledger/PartitionLog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace sycamoreward {

class EventLoop;

// What a backend server says about a request id.
enum class ExecutionStatus
{
  Ran,
  NotRun,
  Unknown
};

struct ServerAnswer
{
  ExecutionStatus executionStatus_ = ExecutionStatus::Unknown;
  // The answer of a request that ran, when the server gives it.
  std::optional<KeptAnswer> answer_;
};

// Asks the server of a claim's service whether the request ran. aOnAnswer is
// called once, within a time that the function bounds itself.
using ServerQuery =
  std::function<void(const Claim& aClaim,
                     std::function<void(ServerAnswer)> aOnAnswer)>;

enum class OwnerState
{
  Alive,
  // Believed dead by heartbeats; the process may be paused and go on later.
  Dead,
  // The platform says that the process has ended.
  Ended
};

struct PartitionContext
{
  EventLoop& loop_;
  Table& table_;
  // Null when there is no object store.
  Journal* journal_ = nullptr;
  std::function<std::uint64_t()> random_;
  ServerQuery queryServer_;
  std::function<OwnerState(const InstanceId&, Incarnation)> getOwnerState_;
};

class PartitionTask
{
public:
  PartitionTask(PartitionContext aContext, const LedgerPartition& aPartition);
  ~PartitionTask();
  PartitionTask(const PartitionTask&) = delete;
  PartitionTask& operator=(const PartitionTask&) = delete;

  // Takes the duty over: reads the log, then serves.
  void Start();

  // Gives the duty up: answers what waits with Unavailable and drops claims.
  // Outcomes that wait are still appended, because their owner may be gone.
  void Stop();

  using OnRegistered = std::function<void(RegisterReply)>;
  void Register(const RegisterRequest& aRequest,
                Incarnation aOwnerIncarnation,
                OnRegistered aOnReply);

  // aOnRecorded is called once with the ids that are durable: all of them, or
  // fewer when the task stops or has no room.
  using OnRecorded = std::function<void(std::vector<RequestId>)>;
  void Record(const std::vector<Outcome>& aOutcomes, OnRecorded aOnRecorded);

  void Lookup(const RequestId& aRequest,
              std::function<void(Ledger::LookupReply)> aOnReply);

  // Starts the settlement of claims whose owner has been dead for
  // kSettleGrace, and reads rows that another registrar may have appended.
  // Called once a second.
  void CheckOwners();

  // Moves rows older than an hour to the object store, one segment a call.
  void MoveOldRows();

  const PartitionLog& Log() const { return log_; }

  // Longest age of a batch, and shortest time between appends: at most 8 writes
  // a second for each partition, also while a backlog drains.
  static constexpr Duration kMaxBatchAge = std::chrono::milliseconds(125);
  // An owner that was declared dead by mistake refutes that within seconds.
  static constexpr Duration kSettleGrace = std::chrono::seconds(5);
  static constexpr Duration kMinMovedRowAge = std::chrono::hours(1);

private:
  struct Waiter
  {
    RegisterRequest request_;
    Incarnation incarnation_;
    MonotonicTime expiry_;
    OnRegistered onReply_;
  };
  struct RecordWaiter
  {
    std::vector<RequestId> requests_;
    std::set<RequestId> notDurable_;
    MonotonicTime expiry_;
    OnRecorded onRecorded_;
  };

  std::optional<RegisterReply> Decide(const Waiter& aWaiter);
  std::optional<RegisterReply> DecideActive(const Waiter& aWaiter);
  // Adds the kept answer of an old outcome before it replies.
  void Reply(const RegisterReply& aReply, const OnRegistered& aOnReply);
  void ReplyToWaiters();
  void ReplyToRecordWaiters();
  void ReadTail();
  void OnTail(const ReadReply& aReply);
  bool ApplyTail(const ReadReply& aReply);
  void ReadOldClaims();
  void Reload();
  void FinishLoading();
  void RetryLater(std::function<void()> aAction);
  void ScheduleFlush();
  void Flush();
  void OnAppended(WriteResult aResult);
  void Settle(const Claim& aClaim);
  std::string NewToken();
  // Wraps a callback so that it has no effect after the task has ended.
  template<typename Function>
  auto Guard(Function aFunction)
  {
    return [isAlive = isAlive_, aFunction](auto&&... aArguments) {
      if (*isAlive) {
        aFunction(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

  PartitionContext context_;
  PartitionLog log_;
  ActiveKeys active_;
  bool isServing_ = false;
  // The rows that were there when the duty was taken over have been read.
  bool isLoaded_ = false;
  // Rows are being read; no append starts.
  bool isLoading_ = false;
  // A reply said that a claim has no outcome. While this instance was paused,
  // or is cut off from others, another registrar may have recorded one.
  bool needsRefresh_ = false;
  bool hasOldClaims_ = false;
  // Last row whose claims were read from the object store.
  Sequence lastMoved_;
  bool isMoving_ = false;
  bool isFlushScheduled_ = false;
  MonotonicTime nextAppendTime_{};
  Duration backoff_{ 0 };
  std::vector<Waiter> waiters_;
  std::vector<RecordWaiter> recordWaiters_;
  std::unordered_map<RequestId, MonotonicTime> deadSince_;
  std::unordered_set<RequestId> settling_;
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
