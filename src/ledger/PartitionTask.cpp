#include "ledger/PartitionTask.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"
#include "telemetry/Log.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr unsigned kPage = 100;
constexpr std::size_t kMaxWaiters = 8192;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackoff = std::chrono::seconds(5);
// Callers of Register have shorter limits of their own; this bounds what is
// kept for callers that have gone.
constexpr Duration kWaiterLimit = std::chrono::seconds(30);
// A batch of this size does not wait for its age.
constexpr std::size_t kBatchBytes = 64 * 1024;

Outcome
SettledOutcome(const Claim& aClaim, OutcomeKind aKind, WallTime aNow)
{
  Outcome outcome;
  outcome.request_ = aClaim.request_;
  outcome.workspace_ = aClaim.workspace_;
  outcome.service_ = aClaim.service_;
  outcome.keyDigest_ = aClaim.keyDigest_;
  outcome.bodyDigest_ = aClaim.bodyDigest_;
  outcome.kind_ = aKind;
  outcome.accepted_ = aNow;
  outcome.ended_ = aNow;
  return outcome;
}

// "Not run" is a fact only when the owner can't send the request any more. A
// paused owner could, after the server was asked.
Outcome
JudgeSettlement(const Claim& aClaim,
                const ServerAnswer& aAnswer,
                OwnerState aOwnerWhenAsked,
                WallTime aNow)
{
  Outcome outcome = SettledOutcome(aClaim, OutcomeKind::Unknown, aNow);
  outcome.evidence_ = "the owner " + aClaim.owner_.Value() +
                      " died and the server can't say whether it ran";
  if (aAnswer.word_ == ServerWord::Ran) {
    outcome.kind_ =
      aAnswer.answer_ ? OutcomeKind::Completed : OutcomeKind::Failed;
    outcome.answer_ = aAnswer.answer_;
    outcome.evidence_ = "the server's status says that it ran";
  } else if (aAnswer.word_ == ServerWord::NotRun &&
             aOwnerWhenAsked == OwnerState::Gone) {
    outcome.kind_ = OutcomeKind::NotRun;
    outcome.evidence_ = "the server's status says that it did not run, asked "
                        "after the owner's process had ended";
  }
  return outcome;
}

} // namespace

template<typename Function>
auto
PartitionTask::Guard(Function aFunction)
{
  return [isAlive = isAlive_, aFunction](auto&&... aArguments) {
    if (*isAlive) {
      aFunction(std::forward<decltype(aArguments)>(aArguments)...);
    }
  };
}

PartitionTask::PartitionTask(PartitionContext aContext,
                             const LedgerPartition& aPartition)
  : context_(std::move(aContext))
{
  log_.partition_ = aPartition;
}

PartitionTask::~PartitionTask()
{
  *isAlive_ = false;
}

void
PartitionTask::Start()
{
  if (isServing_) {
    return;
  }
  isServing_ = true;
  hasState_ = false;
  if (!isLoading_ && !log_.inFlight_) {
    isLoading_ = true;
    ReadTail();
  }
}

void
PartitionTask::Stop()
{
  isServing_ = false;
  hasState_ = false;
  active_ = {};
  deadSince_.clear();
  DropPendingClaims(log_);
  for (Waiter& waiter : std::exchange(waiters_, {})) {
    waiter.onReply_({});
  }
}

std::string
PartitionTask::NewToken()
{
  return HexOf(context_.random_()) + HexOf(context_.random_());
}

// Reading the log.

void
PartitionTask::RetryLater(std::function<void()> aAction)
{
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kLongestBackoff);
  context_.loop_.CallAfter(backoff_, Guard(std::move(aAction)));
}

void
PartitionTask::ReadTail()
{
  context_.table_.Query(
    PartitionName(log_.partition_),
    SortKey(Sequence(log_.applied_.Value() + 1)),
    kPage,
    Guard([this](const ReadReply& aReply) { OnTail(aReply); }));
}

void
PartitionTask::OnTail(const ReadReply& aReply)
{
  if (!aReply.isOk_) {
    RetryLater([this] { ReadTail(); });
    return;
  }
  backoff_ = Duration(0);
  try {
    if (!ApplyTail(aReply)) {
      return;
    }
  } catch (const Error& error) {
    LogFor("ledger")->error("{}", error.what());
    RetryLater([this] { Reload(); });
    return;
  }
  // A page may hold fewer rows than were asked for; only an empty one is the
  // last.
  if (aReply.rows_.empty()) {
    FinishLoading();
  } else {
    context_.loop_.Post(Guard([this] { ReadTail(); }));
  }
}

// False when another reading was started instead.
bool
PartitionTask::ApplyTail(const ReadReply& aReply)
{
  for (const Row& tableRow : aReply.rows_) {
    if (log_.applied_ == Sequence(0) && !hasSegments_ &&
        context_.journal_ != nullptr &&
        tableRow.key_.sort_ != SortKey(Sequence(1))) {
      ReadSegments();
      return false;
    }
    if (IsMovedMarker(tableRow)) {
      if (aReply.rows_.size() == 1) {
        throw InternalError(
          "load ledger", "", "The newest row was moved out of the table.");
      }
      continue;
    }
    const LogRow row = FromTableRow(tableRow);
    // Rows were moved while this registrar was paused.
    if (log_.applied_ != Sequence(0) &&
        row.sequence_.Value() != log_.applied_.Value() + 1) {
      RetryLater([this] { Reload(); });
      return false;
    }
    ApplyRow(log_, row);
  }
  return true;
}

void
PartitionTask::Reload()
{
  ResetRows(log_);
  hasSegments_ = false;
  ReadTail();
}

void
PartitionTask::ReadSegments()
{
  const WallTime since = context_.loop_.GetClock().Wall() - kKeyLifetime;
  context_.journal_->LoadSegments(
    log_.partition_, since, Guard([this](const Journal::RowsReply& aReply) {
      if (!aReply.isOk_) {
        RetryLater([this] { Reload(); });
        return;
      }
      try {
        for (const LogRow& row : aReply.rows_) {
          ApplyRow(log_, row);
        }
      } catch (const Error& error) {
        LogFor("ledger")->error("{}", error.what());
        RetryLater([this] { Reload(); });
        return;
      }
      hasSegments_ = true;
      ReadTail();
    }));
}

void
PartitionTask::FinishLoading()
{
  isLoading_ = false;
  hasState_ = isServing_;
  Answer();
  ScheduleFlush();
}

// Appending.

void
PartitionTask::ScheduleFlush()
{
  if (isFlushScheduled_ || isLoading_ || log_.inFlight_ ||
      log_.pending_.empty()) {
    return;
  }
  isFlushScheduled_ = true;
  const MonotonicTime now = context_.loop_.GetClock().Now();
  const Duration age =
    log_.pendingBytes_ >= kBatchBytes ? Duration(0) : kBatchAge;
  const Duration wait = std::max({ age, nextAppend_ - now, backoff_ });
  context_.loop_.CallAfter(wait, Guard([this] {
                             isFlushScheduled_ = false;
                             Flush();
                           }));
}

void
PartitionTask::Flush()
{
  if (isLoading_) {
    return;
  }
  const auto row =
    StartAppend(log_, NewToken(), context_.loop_.GetClock().Wall());
  if (!row) {
    return;
  }
  nextAppend_ = context_.loop_.GetClock().Now() + kBatchAge;
  context_.table_.Write(
    AppendWrites(log_.partition_, *row, log_.lastToken_),
    row->writeToken_,
    Guard([this](WriteResult aResult) { OnAppended(aResult); }));
}

void
PartitionTask::OnAppended(WriteResult aResult)
{
  if (aResult == WriteResult::Committed) {
    backoff_ = Duration(0);
    AfterCommitted(log_);
    hasState_ = isServing_;
    Answer();
    ScheduleFlush();
    return;
  }
  AfterNotCommitted(log_);
  if (aResult == WriteResult::Refused) {
    backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kLongestBackoff);
    if (hasState_ || !isServing_) {
      ScheduleFlush();
      return;
    }
  }
  // Another registrar's row, or perhaps this one's after a lost reply: the rows
  // tell.
  isLoading_ = true;
  ReadTail();
}

// Registrations.

std::optional<RegisterReply>
PartitionTask::DecideActive(const Waiter& aWaiter)
{
  const ActiveKey* holder = FindActive(active_, aWaiter.request_);
  const bool isDead =
    holder != nullptr &&
    context_.ownerState_(holder->request_.owner_, holder->incarnation_) !=
      OwnerState::Alive;
  if (!aWaiter.request_.isDurable_) {
    return RegisterActive(
      active_, aWaiter.request_, aWaiter.incarnation_, isDead);
  }
  // The service was repeatable when the holder was accepted.
  if (holder != nullptr && !holder->outcome_ && !isDead) {
    RegisterReply reply;
    reply.status_ = RegisterStatus::Running;
    reply.request_ = holder->request_.request_;
    reply.owner_ = holder->request_.owner_;
    return reply;
  }
  return std::nullopt;
}

std::optional<RegisterReply>
PartitionTask::Decide(const Waiter& aWaiter)
{
  auto reply = DecideRegister(log_, aWaiter.request_);
  if (!reply) {
    return aWaiter.request_.keyDigest_.empty() && aWaiter.request_.isDurable_
             ? std::nullopt
             : DecideActive(aWaiter);
  }
  const Claim* claim = FindRunningClaim(log_, aWaiter.request_);
  if (reply->status_ == RegisterStatus::Running && claim != nullptr &&
      context_.ownerState_(claim->owner_, claim->ownerIncarnation_) !=
        OwnerState::Alive) {
    reply->status_ = RegisterStatus::Unsettled;
  }
  return reply;
}

void
PartitionTask::Register(const RegisterRequest& aRequest,
                        Incarnation aOwnerIncarnation,
                        OnRegistered aOnReply)
{
  if (!isServing_ || waiters_.size() >= kMaxWaiters) {
    aOnReply({});
    return;
  }
  waiters_.push_back({ aRequest,
                       aOwnerIncarnation,
                       context_.loop_.GetClock().Now() + kWaiterLimit,
                       std::move(aOnReply) });
  Answer();
  ScheduleFlush();
}

void
PartitionTask::Answer()
{
  AnswerRecords();
  if (!hasState_) {
    return;
  }
  const MonotonicTime now = context_.loop_.GetClock().Now();
  for (Waiter& waiter : std::exchange(waiters_, {})) {
    const auto reply = Decide(waiter);
    if (reply) {
      waiter.onReply_(*reply);
      continue;
    }
    LogEntry entry;
    const RegisterRequest& request = waiter.request_;
    entry.claim_ = { request.request_,   request.workspace_,  request.service_,
                     request.keyDigest_, request.bodyDigest_, request.owner_,
                     waiter.incarnation_ };
    if (waiter.expiry_ <= now || !AddPending(log_, entry)) {
      waiter.onReply_({});
    } else {
      waiters_.push_back(std::move(waiter));
    }
  }
}

// Outcomes.

void
PartitionTask::Record(const std::vector<Outcome>& aOutcomes,
                      OnRecorded aOnRecorded)
{
  if (!isServing_ || recordWaiters_.size() >= kMaxWaiters) {
    aOnRecorded({});
    return;
  }
  RecordWaiter waiter;
  waiter.onRecorded_ = std::move(aOnRecorded);
  waiter.expiry_ = context_.loop_.GetClock().Now() + kWaiterLimit;
  for (const Outcome& outcome : aOutcomes) {
    LogEntry entry;
    entry.kind_ = EntryKind::Outcome;
    entry.outcome_ = outcome;
    if (!AddPending(log_, entry)) {
      break;
    }
    EndActive(active_, outcome);
    waiter.requests_.push_back(outcome.request_);
    waiter.missing_.insert(outcome.request_);
  }
  recordWaiters_.push_back(std::move(waiter));
  Answer();
  ScheduleFlush();
}

void
PartitionTask::AnswerRecords()
{
  std::vector<RecordWaiter> left;
  std::vector<RecordWaiter> done;
  const MonotonicTime now = context_.loop_.GetClock().Now();
  for (RecordWaiter& waiter : recordWaiters_) {
    for (auto id = waiter.missing_.begin(); id != waiter.missing_.end();) {
      const auto record = log_.requests_.find(*id);
      if (record != log_.requests_.end() && record->second.outcome_) {
        RemoveActive(active_, *id);
        settling_.erase(*id);
        id = waiter.missing_.erase(id);
      } else {
        ++id;
      }
    }
    if (waiter.missing_.empty()) {
      done.push_back(std::move(waiter));
    } else if (waiter.expiry_ <= now) {
      waiter.requests_.clear();
      done.push_back(std::move(waiter));
    } else {
      left.push_back(std::move(waiter));
    }
  }
  recordWaiters_ = std::move(left);
  for (RecordWaiter& waiter : done) {
    waiter.onRecorded_(std::move(waiter.requests_));
  }
}

void
PartitionTask::Lookup(const RequestId& aRequest,
                      std::function<void(Ledger::LookupReply)> aOnReply)
{
  if (!hasState_) {
    aOnReply({ std::nullopt, "The ledger of the request can't be read now." });
    return;
  }
  const auto record = log_.requests_.find(aRequest);
  if (record != log_.requests_.end() || context_.journal_ == nullptr) {
    aOnReply(
      { record == log_.requests_.end() ? std::nullopt : record->second.outcome_,
        "" });
    return;
  }
  context_.journal_->Find(aRequest, std::move(aOnReply));
}

// Settlement and moves.

void
PartitionTask::CheckOwners()
{
  Answer();
  if (!hasState_) {
    return;
  }
  const MonotonicTime now = context_.loop_.GetClock().Now();
  std::vector<Claim> due;
  for (const RequestId& request : log_.running_) {
    const Claim& claim = *log_.requests_.at(request).claim_;
    if (context_.ownerState_(claim.owner_, claim.ownerIncarnation_) ==
        OwnerState::Alive) {
      deadSince_.erase(request);
      continue;
    }
    const auto since = deadSince_.emplace(request, now).first;
    if (now - since->second >= kSettleGrace &&
        settling_.insert(request).second) {
      due.push_back(claim);
    }
  }
  for (const Claim& claim : due) {
    Settle(claim);
  }
}

void
PartitionTask::Settle(const Claim& aClaim)
{
  const OwnerState state =
    context_.ownerState_(aClaim.owner_, aClaim.ownerIncarnation_);
  context_.askServer_(
    aClaim, Guard([this, aClaim, state](const ServerAnswer& aAnswer) {
      settling_.erase(aClaim.request_);
      deadSince_.erase(aClaim.request_);
      // The owner may have come back; its own record is worth more.
      if (isServing_ &&
          context_.ownerState_(aClaim.owner_, aClaim.ownerIncarnation_) !=
            OwnerState::Alive) {
        Record({ JudgeSettlement(
                 aClaim, aAnswer, state, context_.loop_.GetClock().Wall()) },
               [](const std::vector<RequestId>&) {});
      }
    }));
}

void
PartitionTask::MoveOldRows()
{
  if (!hasState_ || isMoving_ || context_.journal_ == nullptr) {
    return;
  }
  isMoving_ = true;
  context_.journal_->Move(
    log_.partition_,
    context_.loop_.GetClock().Wall() - kRowAge,
    NewToken(),
    Guard([this](const Journal::MoveReply&) { isMoving_ = false; }));
}

} // namespace sycamoreward
