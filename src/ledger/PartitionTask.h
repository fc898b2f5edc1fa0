#pragma once

// Serves one ledger partition: reads the log, batches entries, appends rows and
// replies to registrations.

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

// Whether a backend server has run a request, according to the server.
enum class ExecutionStatus
{
  Ran,
  NotRun,
  Unknown
};

// Reply of a backend server to a status query.
struct ServerAnswer
{
  ExecutionStatus executionStatus_ = ExecutionStatus::Unknown;
  // The answer of a request that ran, if the server returned it.
  std::optional<KeptAnswer> answer_;
};

// Queries the backend servers of a claim about whether the request ran.
// aOnAnswer is called once; the function enforces its own timeout.
using ServerQuery =
  std::function<void(const Claim& aClaim,
                     std::function<void(ServerAnswer)> aOnAnswer)>;

enum class OwnerState
{
  Alive,
  // Considered dead because its heartbeats are missing. The process may be
  // suspended and resume later.
  Dead,
  // The process has ended, according to the platform or because a newer
  // incarnation has replaced it.
  Ended
};

// What a partition task depends on. Nothing referred to is owned.
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

  // Takes over the duty: reads the log, then serves requests.
  void Start();

  // Gives up the duty: replies Unavailable to waiting registrations and drops
  // pending claims. Pending outcomes are still appended, because their owner
  // may have ended.
  void Stop();

  // Replies Unavailable when the task does not serve the partition or has too
  // many waiters. Otherwise the reply may have to wait until a claim is
  // durable.
  using OnRegistered = std::function<void(RegisterReply)>;
  void Register(const RegisterRequest& aRequest,
                Incarnation aOwnerIncarnation,
                OnRegistered aOnReply);

  // aOnRecorded is called once with the ids of the durable outcomes. If any is
  // missing when the wait times out, or the task does not serve the partition
  // or has too many waiters, the list is empty; outcomes that did not fit into
  // the pending entries are left out.
  using OnRecorded = std::function<void(std::vector<RequestId>)>;
  void Record(const std::vector<Outcome>& aOutcomes, OnRecorded aOnRecorded);

  // Looks up an outcome in memory, and through the journal if it is not there.
  // Replies with an error until the rows have been loaded.
  void Lookup(const RequestId& aRequest,
              std::function<void(Ledger::LookupReply)> aOnReply);

  // Starts the settlement of claims whose owner has been dead for kSettleGrace,
  // and reads rows that another registrar may have appended. Called once a
  // second.
  void CheckOwners();

  // Moves rows older than an hour to the object store, at most one segment per
  // call.
  void MoveOldRows();

  const PartitionLog& Log() const { return log_; }

  // Maximum age of a batch, and minimum interval between appends: at most 8
  // writes a second per partition, also while a backlog drains.
  static constexpr Duration kMaxBatchAge = std::chrono::milliseconds(125);
  // Grace period before settlement. An owner that was declared dead by mistake
  // refutes it within seconds.
  static constexpr Duration kSettleGrace = std::chrono::seconds(5);
  // Minimum age of the rows that MoveOldRows moves.
  static constexpr Duration kMinMovedRowAge = std::chrono::hours(1);

private:
  // A registration that has not been replied to yet.
  struct Waiter
  {
    RegisterRequest request_;
    Incarnation incarnation_;
    MonotonicTime expiry_;
    OnRegistered onReply_;
  };
  // A call to Record whose outcomes are not all durable yet.
  struct RecordWaiter
  {
    std::vector<RequestId> requests_;
    std::set<RequestId> notDurable_;
    MonotonicTime expiry_;
    OnRecorded onRecorded_;
  };

  std::optional<RegisterReply> Decide(const Waiter& aWaiter);
  std::optional<RegisterReply> DecideActive(const Waiter& aWaiter);
  // Replies, after loading the kept answer of an old outcome if memory no
  // longer has it.
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
  // Wraps a callback so that it has no effect after the task is destroyed.
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
  // All rows that existed when the duty was taken over have been read.
  bool isLoaded_ = false;
  // Rows are being read; no append starts meanwhile.
  bool isLoading_ = false;
  // The rows must be read again, because a reply was based on a claim without
  // an outcome. While this instance was suspended or partitioned from others,
  // another registrar may have recorded an outcome.
  bool needsRefresh_ = false;
  // The claims of moved rows have been read from the object store.
  bool hasOldClaims_ = false;
  // The last row whose claims were read from the object store.
  Sequence lastMoved_;
  bool isMoving_ = false;
  bool isFlushScheduled_ = false;
  MonotonicTime nextAppendTime_{};
  Duration backoff_{ 0 };
  std::vector<Waiter> waiters_;
  std::vector<RecordWaiter> recordWaiters_;
  // When the owner of each claimed request was first found dead.
  std::unordered_map<RequestId, MonotonicTime> deadSince_;
  // Requests whose settlement is in progress.
  std::unordered_set<RequestId> settling_;
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
