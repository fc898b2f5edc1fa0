#include "edge/DutyTask.h"

#include "base/DurationUnits.h"
#include "edge/DutyRows.h"
#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward::edge {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// A tick that comes this long after the last one, or a wall clock that has
// advanced by this much more than the monotonic clock, means that the process
// was suspended.
constexpr Duration kSuspensionThreshold = std::chrono::milliseconds(700);
// Counted as time already waited for a holder at the start: when the whole
// system starts there is none.
constexpr Duration kFirstLeaseDelay = std::chrono::milliseconds(300);

} // namespace

DutyTask::DutyTask(EdgeState& aState,
                   RowStore& aStore,
                   Cloud& aCloud,
                   Incarnation aIncarnation)
  : state_(aState)
  , store_(aStore)
  , cloud_(aCloud)
{
  lease_.self_ = aState.self_;
  lease_.incarnation_ = aIncarnation;
}

DutyTask::~DutyTask()
{
  state_.loop_.CancelTimer(timer_);
}

void
DutyTask::Start(ReportExchange& aReports)
{
  reports_ = &aReports;
  const MonotonicTime now = state_.loop_.GetClock().Now();
  lastTick_ = now;
  lastWall_ = state_.loop_.GetClock().Wall();
  lease_.leaseTime_ = state_.bounds_.leaseTime_;
  lease_.holderSeen_ = now - kFirstLeaseDelay;
  reportable_.era_ = CurrentWindow();
  timer_ = state_.loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

bool
DutyTask::HoldsLease() const
{
  return !isStopped_ && HasValidLease(lease_, state_.loop_.GetClock().Now());
}

void
DutyTask::Stop()
{
  ReleaseLease();
  isStopped_ = true;
}

void
DutyTask::ReleaseLease()
{
  if (!HoldsLease() || lease_.isCallPending_) {
    return;
  }
  StoreWrite write;
  write.conditions_.push_back({ kDutyTable, kLeaseKey, lease_.rowVersion_ });
  write.rows_.push_back(MakeRow(InstanceId(), lease_.heldEpoch_));
  // If the call gets no answer, the lease expires.
  store_.Write(write, [](const StoreReply&) {});
}

void
DutyTask::Tick()
{
  if (isStopped_) {
    return;
  }
  CheckSuspension();
  CheckEra();
  CheckLease();
  CheckServerList();
  if (HoldsLease() && HasCompleteSums()) {
    CarryOutDuties();
  }
  const std::uint64_t oldest =
    WindowOf(state_.usage_, state_.AgreedWall() - 2 * kUsageDeadline);
  DropWindowsBefore(state_.usage_, oldest);
  windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
  timer_ = state_.loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

void
DutyTask::CarryOutDuties()
{
  try {
    CheckUsage();
    CheckOrders();
  } catch (const std::exception& error) {
    ++failures_;
    LogLine line("duties_failed");
    line.Add("error", error.what()).Add("epoch", lease_.heldEpoch_.Value());
    state_.log_.WriteImportant(line);
    // The call that failed stays marked as in progress.
    orders_.clear();
    for (auto& [window, entry] : windows_) {
      entry.isCallPending_ = false;
    }
    ReleaseLease();
    LoseLease("failed");
  }
}

void
DutyTask::CheckSuspension()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const WallTime wall = state_.loop_.GetClock().Wall();
  const Duration steady = now - lastTick_;
  const Duration jump = (wall - lastWall_) - steady;
  if (steady > kSuspensionThreshold || jump > kSuspensionThreshold) {
    LogLine line("pause_noticed");
    line.Add("steadyMs", Milliseconds(steady))
      .Add("jumpMs", Milliseconds(jump));
    state_.log_.WriteImportant(line);
    MarkUnverified(lease_, now);
  }
  lastTick_ = now;
  lastWall_ = wall;
}

void
DutyTask::CheckLease()
{
  const FencingToken before = lease_.heldEpoch_;
  const LeaseStep step = NextStep(lease_,
                                  reports_->PeerDutyEpoch(),
                                  reports_->DutyRank(),
                                  state_.loop_.GetClock().Now());
  if (before.Value() != 0 && lease_.heldEpoch_.Value() == 0) {
    LogLine line("duties_lost");
    line.Add("reason", "later_holder").Add("epoch", before.Value());
    state_.log_.WriteImportant(line);
  }
  if (step == LeaseStep::ReadRow) {
    ReadLease();
  } else if (step == LeaseStep::Renew) {
    RenewLease();
  }
}

void
DutyTask::ReadLease()
{
  lease_.isCallPending_ = true;
  store_.Read(kDutyTable,
              "",
              [this, callStart = state_.loop_.GetClock().Now()](
                const StoreReply& aReply) {
                lease_.isCallPending_ = false;
                OnLeaseRow(aReply, callStart);
              });
}

std::uint64_t
DutyTask::CurrentWindow() const
{
  return WindowOf(state_.usage_, state_.AgreedWall());
}

void
DutyTask::CheckEra()
{
  if (state_.storeEra_ <= lease_.era_) {
    return;
  }
  const FencingToken held = lease_.heldEpoch_;
  const bool hasReturned =
    NoteEra(lease_, state_.storeEra_, state_.loop_.GetClock().Now());
  const bool isKept = lease_.heldEpoch_.Value() != 0;
  NoteEra(reportable_, CurrentWindow(), hasReturned && isKept);
  LogLine line("duties_era");
  line.Add("era", lease_.era_.Value())
    .Add("first", !hasReturned)
    .Add("held", held.Value())
    .Add("kept", isKept)
    .Add("window", reportable_.era_);
  state_.log_.WriteImportant(line);
}

bool
DutyTask::IsOutdated(const StoreReply& aReply)
{
  CheckEra();
  return aReply.era_.Value() != 0 && aReply.era_ < lease_.era_;
}

bool
DutyTask::IsOutdated(const StoreReply& aReply, StoreEra aCallEra)
{
  const bool isOutdated = IsOutdated(aReply);
  return isOutdated || (aCallEra.Value() != 0 && aCallEra != lease_.era_);
}

void
DutyTask::OnLeaseRow(const StoreReply& aReply, MonotonicTime aCallStart)
{
  if (IsOutdated(aReply) || aReply.status_ != StoreStatus::Ok || isStopped_) {
    return;
  }
  const StoreRow* found = FindRow(aReply.rows_, kLeaseKey);
  const LeaseRow row = found == nullptr ? LeaseRow{} : DecodeLease(*found);
  if (const StoreRow* progress = FindRow(aReply.rows_, kProgressKey)) {
    LoadProgress(*progress);
  }
  if (ApplyLeaseRow(lease_, row, aCallStart, state_.loop_.GetClock().Now())) {
    ClaimLease(row);
  }
}

StoreRow
DutyTask::MakeRow(const InstanceId& aHolder, FencingToken aEpoch) const
{
  LeaseRow row;
  row.instance_ = aHolder;
  row.incarnation_ = lease_.incarnation_;
  row.epoch_ = aEpoch;
  row.era_ = lease_.era_;
  row.firstWindow_ = reportable_.firstOfSuccessors_;
  return { kDutyTable, kLeaseKey, EncodeLease(row), 0, false };
}

StoreRow
DutyTask::OwnRow(FencingToken aEpoch) const
{
  return MakeRow(lease_.self_, aEpoch);
}

void
DutyTask::ClaimLease(const LeaseRow& aRow)
{
  const FencingToken epoch = NextEpoch(lease_);
  NoteClaim(reportable_, aRow, lease_.era_, CurrentWindow());
  StoreWrite write;
  write.conditions_.push_back({ kDutyTable, kLeaseKey, aRow.version_ });
  write.rows_.push_back(OwnRow(epoch));
  lease_.isCallPending_ = true;
  const MonotonicTime callStart = state_.loop_.GetClock().Now();
  const StoreEra callEra = lease_.era_;
  const auto onReply =
    [this, epoch, callStart, callEra](const StoreReply& aReply) {
      lease_.isCallPending_ = false;
      const MonotonicTime now = state_.loop_.GetClock().Now();
      LogLine line("duties_claimed");
      line.Add("epoch", epoch.Value())
        .Add("taken", aReply.status_ == StoreStatus::Ok)
        .Add("firstWindow", reportable_.first_);
      state_.log_.WriteImportant(line);
      if (IsOutdated(aReply, callEra)) {
        return;
      }
      if (aReply.status_ == StoreStatus::Ok) {
        ApplyLeaseWrite(lease_, epoch, aReply.version_, callStart, now);
        orders_.clear();
      } else if (aReply.status_ == StoreStatus::Conflict) {
        lease_.holderSeen_ = now;
      }
      // If the outcome is unknown, the next step reads the row again.
    };
  store_.Write(write, onReply);
}

void
DutyTask::RenewLease()
{
  StoreWrite write;
  write.conditions_.push_back({ kDutyTable, kLeaseKey, lease_.rowVersion_ });
  write.rows_.push_back(OwnRow(lease_.heldEpoch_));
  if (reports_->IsMesh()) {
    // Only with few instances: otherwise the collectors have the counts, and
    // the row would be large.
    write.rows_.push_back(ProgressRow());
  }
  lease_.isCallPending_ = true;
  const MonotonicTime callStart = state_.loop_.GetClock().Now();
  const StoreEra callEra = lease_.era_;
  store_.Write(write, [this, callStart, callEra](const StoreReply& aReply) {
    lease_.isCallPending_ = false;
    const MonotonicTime now = state_.loop_.GetClock().Now();
    if (IsOutdated(aReply, callEra)) {
      return;
    }
    if (aReply.status_ == StoreStatus::Ok) {
      ApplyLeaseWrite(
        lease_, lease_.heldEpoch_, aReply.version_, callStart, now);
    } else if (aReply.status_ == StoreStatus::Conflict) {
      // An earlier renewal whose reply was lost may have succeeded.
      MarkUnverified(lease_, now);
    } else {
      constexpr Duration kRenewalRetry = std::chrono::milliseconds(250);
      lease_.nextRenewal_ = now + kRenewalRetry;
    }
  });
}

void
DutyTask::LoseLease(const char* aReason)
{
  LogLine line("duties_lost");
  line.Add("reason", aReason).Add("epoch", lease_.heldEpoch_.Value());
  state_.log_.WriteImportant(line);
  StepDown(lease_, state_.loop_.GetClock().Now());
}

} // namespace sycamoreward::edge
