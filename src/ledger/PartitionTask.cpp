#include "ledger/PartitionTask.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"
#include "telemetry/Log.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::size_t kMaxWaiters = 8192;
// Callers of Register have shorter timeouts of their own; this bounds how long
// waiters of callers that have gone are kept.
constexpr Duration kWaiterTimeout = std::chrono::seconds(30);

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

// Returns whether the rows may contain an answer that was dropped from memory.
bool
IsAnswerDropped(const Outcome& aOutcome)
{
  return !aOutcome.answer_ && aOutcome.kind_ == OutcomeKind::Completed &&
         aOutcome.answerLength_.Value() <= kMaxKeptAnswerBytes;
}

// NotRun is certain only if the owner can no longer send the request. A
// suspended owner could still send it after the server was queried.
Outcome
DecideSettlement(const Claim& aClaim,
                 const ServerAnswer& aAnswer,
                 OwnerState aOwnerStateAtQuery,
                 WallTime aNow)
{
  Outcome outcome = SettledOutcome(aClaim, OutcomeKind::Unknown, aNow);
  outcome.evidence_ = "the owner " + aClaim.owner_.Value() +
                      " died and the server can't say whether it ran";
  if (aAnswer.executionStatus_ == ExecutionStatus::Ran) {
    outcome.kind_ =
      aAnswer.answer_ ? OutcomeKind::Completed : OutcomeKind::Failed;
    outcome.answer_ = aAnswer.answer_;
    outcome.evidence_ = "the server's status says that it ran";
  } else if (aAnswer.executionStatus_ == ExecutionStatus::NotRun &&
             aOwnerStateAtQuery == OwnerState::Ended) {
    outcome.kind_ = OutcomeKind::NotRun;
    outcome.evidence_ = "the server's status says that it did not run, asked "
                        "after the owner's process had ended";
  }
  return outcome;
}

} // namespace

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
  isLoaded_ = false;
  if (!isLoading_ && !log_.inFlight_) {
    isLoading_ = true;
    ReadTail();
  }
}

void
PartitionTask::Stop()
{
  isServing_ = false;
  isLoaded_ = false;
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

// Registration.

std::optional<RegisterReply>
PartitionTask::DecideActive(const Waiter& aWaiter)
{
  const ActiveKey* holder = FindActive(active_, aWaiter.request_);
  const bool isDead =
    holder != nullptr &&
    context_.getOwnerState_(holder->request_.owner_, holder->incarnation_) !=
      OwnerState::Alive;
  if (!aWaiter.request_.isDurable_) {
    return RegisterActive(
      active_, aWaiter.request_, aWaiter.incarnation_, isDead);
  }
  // The service was repeatable when the holder's request was accepted.
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
      context_.getOwnerState_(claim->owner_, claim->ownerIncarnation_) !=
        OwnerState::Alive) {
    reply->status_ = RegisterStatus::Unsettled;
  }
  return reply;
}

void
PartitionTask::Reply(const RegisterReply& aReply, const OnRegistered& aOnReply)
{
  const auto record = log_.requests_.find(aReply.request_);
  const bool isClaimed =
    record != log_.requests_.end() && record->second.claim_.has_value();
  if (!isClaimed || !aReply.outcome_ || !IsAnswerDropped(*aReply.outcome_) ||
      context_.journal_ == nullptr) {
    aOnReply(aReply);
    return;
  }
  context_.journal_->Find(
    aReply.request_,
    Guard([aReply, aOnReply](const Ledger::LookupReply& aFound) {
      RegisterReply reply = aReply;
      if (!aFound.error_.empty()) {
        reply = {};
      } else if (aFound.outcome_) {
        reply.outcome_ = aFound.outcome_;
      }
      aOnReply(reply);
    }));
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
                       context_.loop_.GetClock().Now() + kWaiterTimeout,
                       std::move(aOnReply) });
  ReplyToWaiters();
  ScheduleFlush();
}

void
PartitionTask::ReplyToWaiters()
{
  ReplyToRecordWaiters();
  if (!isLoaded_) {
    return;
  }
  const MonotonicTime now = context_.loop_.GetClock().Now();
  for (Waiter& waiter : std::exchange(waiters_, {})) {
    const auto reply = Decide(waiter);
    if (reply) {
      needsRefresh_ = needsRefresh_ ||
                      reply->status_ == RegisterStatus::Running ||
                      reply->status_ == RegisterStatus::Unsettled;
      Reply(*reply, waiter.onReply_);
      continue;
    }
    LogEntry entry;
    const RegisterRequest& request = waiter.request_;
    entry.claim_ = { request.request_,       request.workspace_,
                     request.service_,       request.keyDigest_,
                     request.bodyDigest_,    request.owner_,
                     waiter.incarnation_,    request.servers_,
                     request.previousOwners_ };
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
  waiter.expiry_ = context_.loop_.GetClock().Now() + kWaiterTimeout;
  for (const Outcome& outcome : aOutcomes) {
    LogEntry entry;
    entry.kind_ = EntryKind::Outcome;
    entry.outcome_ = outcome;
    if (!AddPending(log_, entry)) {
      break;
    }
    SetActiveOutcome(active_, outcome);
    waiter.requests_.push_back(outcome.request_);
    waiter.notDurable_.insert(outcome.request_);
  }
  recordWaiters_.push_back(std::move(waiter));
  ReplyToWaiters();
  ScheduleFlush();
}

void
PartitionTask::ReplyToRecordWaiters()
{
  std::vector<RecordWaiter> remaining;
  std::vector<RecordWaiter> done;
  const MonotonicTime now = context_.loop_.GetClock().Now();
  for (RecordWaiter& waiter : recordWaiters_) {
    for (auto id = waiter.notDurable_.begin();
         id != waiter.notDurable_.end();) {
      const auto record = log_.requests_.find(*id);
      if (record != log_.requests_.end() && record->second.outcome_) {
        RemoveActive(active_, *id);
        settling_.erase(*id);
        id = waiter.notDurable_.erase(id);
      } else {
        ++id;
      }
    }
    if (waiter.notDurable_.empty()) {
      done.push_back(std::move(waiter));
    } else if (waiter.expiry_ <= now) {
      waiter.requests_.clear();
      done.push_back(std::move(waiter));
    } else {
      remaining.push_back(std::move(waiter));
    }
  }
  recordWaiters_ = std::move(remaining);
  for (RecordWaiter& waiter : done) {
    waiter.onRecorded_(std::move(waiter.requests_));
  }
}

void
PartitionTask::Lookup(const RequestId& aRequest,
                      std::function<void(Ledger::LookupReply)> aOnReply)
{
  if (!isLoaded_) {
    aOnReply({ std::nullopt, "The ledger of the request can't be read now." });
    return;
  }
  // Answers of old outcomes are not in memory.
  const auto record = log_.requests_.find(aRequest);
  if (record != log_.requests_.end() || context_.journal_ == nullptr) {
    needsRefresh_ = needsRefresh_ || (record != log_.requests_.end() &&
                                      !record->second.outcome_);
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
  ReplyToWaiters();
  if (!isLoaded_) {
    return;
  }
  if (needsRefresh_ && !isLoading_ && !log_.inFlight_) {
    needsRefresh_ = false;
    isLoading_ = true;
    ReadTail();
  }
  const MonotonicTime now = context_.loop_.GetClock().Now();
  std::vector<Claim> due;
  for (const RequestId& request : log_.openClaims_) {
    const Claim& claim = *log_.requests_.at(request).claim_;
    if (context_.getOwnerState_(claim.owner_, claim.ownerIncarnation_) ==
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
    context_.getOwnerState_(aClaim.owner_, aClaim.ownerIncarnation_);
  context_.queryServer_(
    aClaim, Guard([this, aClaim, state](const ServerAnswer& aAnswer) {
      settling_.erase(aClaim.request_);
      deadSince_.erase(aClaim.request_);
      // If the owner is alive again, its own record is more reliable.
      if (isServing_ &&
          context_.getOwnerState_(aClaim.owner_, aClaim.ownerIncarnation_) !=
            OwnerState::Alive) {
        LogEntry entry;
        entry.kind_ = EntryKind::Outcome;
        entry.outcome_ = DecideSettlement(
          aClaim, aAnswer, state, context_.loop_.GetClock().Wall());
        entry.settledHolder_ = { aClaim.owner_, aClaim.ownerIncarnation_ };
        AddPending(log_, entry);
        ScheduleFlush();
      }
    }));
}

void
PartitionTask::MoveOldRows()
{
  if (!isLoaded_ || isMoving_ || context_.journal_ == nullptr) {
    return;
  }
  isMoving_ = true;
  context_.journal_->Move(
    log_.partition_,
    context_.loop_.GetClock().Wall() - kMinMovedRowAge,
    NewToken(),
    Guard([this](const Journal::MoveReply&) { isMoving_ = false; }));
}

} // namespace sycamoreward
