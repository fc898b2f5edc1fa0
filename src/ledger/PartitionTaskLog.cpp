// The part of PartitionTask that reads and appends rows.

#include "base/Error.h"
#include "ledger/PartitionTask.h"
#include "runtime/EventLoop.h"
#include "telemetry/Log.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr unsigned kPageRows = 100;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);
// A batch of this size is appended without waiting for kMaxBatchAge.
constexpr std::size_t kFullBatchBytes = 64 * 1024;

} // namespace

// Reading the log.

void
PartitionTask::RetryLater(std::function<void()> aAction)
{
  backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
  context_.loop_.CallAfter(backoff_, Guard(std::move(aAction)));
}

void
PartitionTask::ReadTail()
{
  context_.table_.Query(
    PartitionName(log_.partition_),
    SortKey(Sequence(log_.applied_.Value() + 1)),
    kPageRows,
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
  // A page may hold fewer rows than requested; only an empty page marks the
  // end.
  if (aReply.rows_.empty()) {
    FinishLoading();
  } else {
    context_.loop_.Post(Guard([this] { ReadTail(); }));
  }
}

// Returns false when another read was started instead.
bool
PartitionTask::ApplyTail(const ReadReply& aReply)
{
  for (const Row& tableRow : aReply.rows_) {
    if (log_.applied_ == Sequence(0) && !hasOldClaims_ &&
        context_.journal_ != nullptr &&
        tableRow.key_.sort_ != SortKey(Sequence(1))) {
      ReadOldClaims();
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
    // A gap means that rows were moved since the last read of the table or of
    // the old claims.
    const Sequence last = std::max(log_.applied_, lastMoved_);
    const bool hasGap = row.sequence_.Value() > last.Value() + 1;
    if (hasGap && (log_.applied_ != Sequence(0) || hasOldClaims_)) {
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
  hasOldClaims_ = false;
  lastMoved_ = Sequence(0);
  ReadTail();
}

void
PartitionTask::ReadOldClaims()
{
  const WallTime since = context_.loop_.GetClock().Wall() - kKeyLifetime;
  context_.journal_->LoadClaims(
    log_.partition_, since, Guard([this](const Journal::RowsReply& aReply) {
      if (!aReply.isOk_) {
        RetryLater([this] { Reload(); });
        return;
      }
      try {
        for (const LogRow& row : aReply.rows_) {
          ApplyOldClaims(log_, row);
          lastMoved_ = row.sequence_;
        }
      } catch (const Error& error) {
        LogFor("ledger")->error("{}", error.what());
        RetryLater([this] { Reload(); });
        return;
      }
      hasOldClaims_ = true;
      ReadTail();
    }));
}

void
PartitionTask::FinishLoading()
{
  isLoading_ = false;
  isLoaded_ = isServing_;
  ReplyToWaiters();
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
    log_.pendingBytes_ >= kFullBatchBytes ? Duration(0) : kMaxBatchAge;
  const Duration wait = std::max({ age, nextAppendTime_ - now, backoff_ });
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
  nextAppendTime_ = context_.loop_.GetClock().Now() + kMaxBatchAge;
  context_.table_.Write(
    MakeAppendWrites(log_.partition_, *row, log_.lastToken_),
    row->writeToken_,
    Guard([this](WriteResult aResult) { OnAppended(aResult); }));
}

void
PartitionTask::OnAppended(WriteResult aResult)
{
  if (aResult == WriteResult::Committed) {
    backoff_ = Duration(0);
    OnAppendCommitted(log_);
    isLoaded_ = isServing_;
    ReplyToWaiters();
    ScheduleFlush();
    return;
  }
  OnAppendNotCommitted(log_);
  if (aResult == WriteResult::Refused) {
    backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
    if (isLoaded_ || !isServing_) {
      ScheduleFlush();
      return;
    }
  }
  // The table may contain a row of another registrar, or this row if the reply
  // was lost. Reading the rows shows which.
  isLoading_ = true;
  ReadTail();
}

} // namespace sycamoreward
