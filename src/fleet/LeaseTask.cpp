#include "fleet/LeaseTask.h"

#include "telemetry/Log.h"

namespace sycamoreward {

namespace {

constexpr const char* kTablePartition = "lease";

struct StoredLease
{
  std::optional<LeaseRow> row_;
  std::string writeToken_;
};

StoredLease
ParseLease(const std::vector<Row>& aRows)
{
  if (aRows.empty()) {
    return {};
  }
  const auto& values = aRows.front().values_;
  LeaseRow row;
  row.holder_ = InstanceId(values.at("holder"));
  row.epoch_ = FencingToken(std::stoull(values.at("epoch")));
  row.renewals_ = std::stoull(values.at("renewals"));
  return { row, values.at("writeToken") };
}

// Builds a write of aRow that is conditional on aExpected, the last known row.
RowWrite
ToWrite(const std::string& aName,
        const LeaseRow& aRow,
        const std::string& aToken,
        const std::optional<LeaseRow>& aExpected)
{
  RowWrite write;
  write.row_.key_ = RowKey{ kTablePartition, aName };
  write.row_.values_ = { { "holder", aRow.holder_.Value() },
                         { "epoch", std::to_string(aRow.epoch_.Value()) },
                         { "renewals", std::to_string(aRow.renewals_) },
                         { "writeToken", aToken } };
  if (aExpected) {
    // Every write by any holder increments renewals_, so it identifies the
    // version of the row that was read.
    write.condition_ = RowCondition::ValueEquals;
    write.conditionName_ = "renewals";
    write.conditionValue_ = std::to_string(aExpected->renewals_);
  } else {
    write.condition_ = RowCondition::Absent;
  }
  return write;
}

} // namespace

LeaseTask::LeaseTask(EventLoop& aLoop,
                     Table& aTable,
                     std::string aLeaseName,
                     InstanceId aSelf,
                     LeaseTerms aTerms,
                     std::function<bool()> aIsCandidate,
                     std::function<std::string()> aMakeWriteToken)
  : loop_(aLoop)
  , table_(aTable)
  , name_(std::move(aLeaseName))
  , self_(std::move(aSelf))
  , terms_(aTerms)
  , isCandidate_(std::move(aIsCandidate))
  , makeWriteToken_(std::move(aMakeWriteToken))
{
  ScheduleTick(Duration(0));
}

LeaseTask::~LeaseTask()
{
  loop_.CancelTimer(timer_);
}

std::optional<HeldLease>
LeaseTask::Held() const
{
  if (held_ && IsValid(*held_, loop_.GetClock().Now())) {
    return held_;
  }
  return std::nullopt;
}

void
LeaseTask::ScheduleTick(Duration aDelay)
{
  loop_.CancelTimer(timer_);
  timer_ = loop_.CallAfter(aDelay, [this] { Tick(); });
}

void
LeaseTask::Tick()
{
  ScheduleTick(terms_.renewInterval_);
  if (!isCandidate_()) {
    return;
  }
  if (Held()) {
    Renew();
  } else {
    held_.reset();
    ReadRow();
  }
}

void
LeaseTask::ReadRow()
{
  table_.Read(RowKey{ kTablePartition, name_ },
              [this, alive = std::weak_ptr<bool>(alive_)](ReadReply aReply) {
                if (alive.expired() || !aReply.isOk_) {
                  return;
                }
                const MonotonicTime now = loop_.GetClock().Now();
                RecordLeaseRow(
                  observation_, ParseLease(aReply.rows_).row_, now);
                if (MayTakeOver(observation_, now, terms_)) {
                  TakeOver();
                }
              });
}

void
LeaseTask::TakeOver()
{
  LeaseRow row;
  row.holder_ = self_;
  row.epoch_ = FencingToken(1);
  row.renewals_ = 1;
  if (observation_.row_) {
    row.epoch_ = FencingToken(observation_.row_->epoch_.Value() + 1);
    row.renewals_ = observation_.row_->renewals_ + 1;
  }
  WriteRow(row);
}

void
LeaseTask::Renew()
{
  LeaseRow row = *observation_.row_;
  ++row.renewals_;
  WriteRow(row);
}

void
LeaseTask::WriteRow(const LeaseRow& aRow)
{
  const std::string token = makeWriteToken_();
  const MonotonicTime sent = loop_.GetClock().Now();
  const auto onResult =
    [this, aRow, token, sent, alive = std::weak_ptr<bool>(alive_)](
      WriteResult aResult) {
      if (alive.expired()) {
        return;
      }
      if (aResult == WriteResult::Committed) {
        RecordLeaseRow(observation_, aRow, loop_.GetClock().Now());
        held_ = GrantLease(held_, aRow, sent, terms_);
        return;
      }
      ReadBack(aRow, token, sent);
    };
  table_.Write(
    { ToWrite(name_, aRow, token, observation_.row_) }, token, onResult);
}

void
LeaseTask::ReadBack(const LeaseRow& aWritten,
                    const std::string& aToken,
                    MonotonicTime aSent)
{
  table_.Read(
    RowKey{ kTablePartition, name_ },
    [this, aWritten, aToken, aSent, alive = std::weak_ptr<bool>(alive_)](
      ReadReply aReply) {
      if (alive.expired() || !aReply.isOk_) {
        return;
      }
      const StoredLease stored = ParseLease(aReply.rows_);
      RecordLeaseRow(observation_, stored.row_, loop_.GetClock().Now());
      if (stored.writeToken_ == aToken) {
        held_ = GrantLease(held_, aWritten, aSent, terms_);
      } else if (held_ && stored.row_ && stored.row_->epoch_ > held_->epoch_) {
        LogFor("fleet")->warn("{}: lease {} is now held by {} (epoch {}).",
                              self_.Value(),
                              name_,
                              stored.row_->holder_.Value(),
                              stored.row_->epoch_.Value());
        held_.reset();
      }
    });
}

} // namespace sycamoreward
