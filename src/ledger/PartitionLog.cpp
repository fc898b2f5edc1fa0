#include "ledger/PartitionLog.h"

#include "base/Error.h"
#include "ledger/PartitionRules.h"

#include <algorithm>
#include <set>

namespace sycamoreward {

namespace {

std::string
PendingName(const LogEntry& aEntry)
{
  if (aEntry.kind_ == EntryKind::Outcome) {
    return (aEntry.settledHolder_ ? "s" : "o") + RequestOf(aEntry).Value();
  }
  const Claim& claim = aEntry.claim_;
  return claim.previousOwners_.empty()
           ? "c" + claim.request_.Value()
           : "t" + claim.owner_.Value() + "\n" + claim.request_.Value();
}

// Merges the servers that the previous owners and the new owner may have sent
// the request to. Empty (unknown) if either list is empty.
std::vector<ServerId>
MergeServers(const std::vector<ServerId>& aOld,
             const std::vector<ServerId>& aNew)
{
  if (aOld.empty() || aNew.empty()) {
    return {};
  }
  std::set<ServerId> all(aOld.begin(), aOld.end());
  all.insert(aNew.begin(), aNew.end());
  return { all.begin(), all.end() };
}

void
ApplyClaim(PartitionLog& aLog, const Claim& aClaim, WallTime aWritten)
{
  if (!IsClaimPossible(aLog, aClaim)) {
    return;
  }
  const auto transferred = aLog.requests_.find(aClaim.request_);
  if (transferred != aLog.requests_.end()) {
    Claim& held = *transferred->second.claim_;
    held.owner_ = aClaim.owner_;
    held.ownerIncarnation_ = aClaim.ownerIncarnation_;
    held.servers_ = MergeServers(held.servers_, aClaim.servers_);
    return;
  }
  aLog.requests_[aClaim.request_].claim_ = aClaim;
  aLog.openClaims_.insert(aClaim.request_);
  aLog.recentRequests_.emplace_back(aWritten, aClaim.request_);
  if (!aClaim.keyDigest_.empty()) {
    aLog.keys_[KeyName(aClaim.workspace_, aClaim.service_, aClaim.keyDigest_)] =
      aClaim.request_;
  }
}

// Outcomes of repeatable requests have no claim. The latest of them holds the
// key, because its answer is the most likely to be still available.
void
ApplyOutcome(PartitionLog& aLog, const LogEntry& aEntry, WallTime aWritten)
{
  const Outcome& outcome = aEntry.outcome_;
  RequestRecord& record = aLog.requests_[outcome.request_];
  if (record.outcome_ || !MatchesHolder(record, aEntry)) {
    return;
  }
  const bool isClaimed = record.claim_.has_value();
  record.outcome_ = outcome;
  aLog.openClaims_.erase(outcome.request_);
  aLog.recentRequests_.emplace_back(aWritten, outcome.request_);
  if (isClaimed || outcome.keyDigest_.empty() || IsWithdrawn(record)) {
    return;
  }
  const std::string name =
    KeyName(outcome.workspace_, outcome.service_, outcome.keyDigest_);
  const RequestRecord* holder = FindHolder(aLog, name);
  if (holder == nullptr || !holder->claim_) {
    aLog.keys_[name] = outcome.request_;
  }
}

void
EvictRecord(PartitionLog& aLog, const RequestId& aRequest)
{
  const auto found = aLog.requests_.find(aRequest);
  if (found == aLog.requests_.end() || !found->second.outcome_) {
    return;
  }
  const Outcome& outcome = *found->second.outcome_;
  const auto key = aLog.keys_.find(
    KeyName(outcome.workspace_, outcome.service_, outcome.keyDigest_));
  if (key != aLog.keys_.end() && key->second == aRequest) {
    aLog.keys_.erase(key);
  }
  aLog.requests_.erase(found);
}

// A claim without an outcome is kept regardless of its age.
void
EvictOldRecords(PartitionLog& aLog, WallTime aNow)
{
  while (!aLog.recentRequests_.empty() &&
         aLog.recentRequests_.front().first < aNow - kFullRecordLifetime) {
    const auto oldest = aLog.recentRequests_.front();
    aLog.recentRequests_.pop_front();
    const auto found = aLog.requests_.find(oldest.second);
    if (found == aLog.requests_.end() || !found->second.outcome_) {
      continue;
    }
    RequestRecord& record = found->second;
    if (record.claim_ || IsWithdrawn(record)) {
      record.outcome_->answer_.reset();
      record.outcome_->attempts_.clear();
      aLog.oldRequests_.push_back(oldest);
    } else {
      EvictRecord(aLog, oldest.second);
    }
  }
  while (!aLog.oldRequests_.empty() &&
         aLog.oldRequests_.front().first < aNow - kKeyLifetime) {
    const RequestId request = aLog.oldRequests_.front().second;
    aLog.oldRequests_.pop_front();
    EvictRecord(aLog, request);
  }
}

void
ApplyEntries(PartitionLog& aLog, const LogRow& aRow)
{
  for (const LogEntry& entry : ParseEntries(aRow)) {
    if (entry.kind_ == EntryKind::Claim) {
      ApplyClaim(aLog, entry.claim_, aRow.written_);
    } else {
      ApplyOutcome(aLog, entry, aRow.written_);
    }
  }
}

template<typename Predicate>
void
DropPendingIf(PartitionLog& aLog, Predicate aIsDropped)
{
  std::deque<PendingEntry> remaining;
  for (PendingEntry& pending : aLog.pending_) {
    if (aIsDropped(pending.entry_)) {
      aLog.pendingBytes_ -= pending.text_.size();
      aLog.pendingNames_.erase(PendingName(pending.entry_));
    } else {
      remaining.push_back(std::move(pending));
    }
  }
  aLog.pending_ = std::move(remaining);
}

void
DropObsoletePending(PartitionLog& aLog)
{
  DropPendingIf(
    aLog, [&](const LogEntry& aEntry) { return IsObsolete(aLog, aEntry); });
}

RegisterReply
MakeReply(RegisterStatus aStatus, const RequestRecord& aRecord)
{
  RegisterReply reply;
  reply.status_ = aStatus;
  reply.outcome_ = aRecord.outcome_;
  if (aRecord.claim_) {
    reply.request_ = aRecord.claim_->request_;
    reply.owner_ = aRecord.claim_->owner_;
  } else if (aRecord.outcome_) {
    reply.request_ = aRecord.outcome_->request_;
  }
  return reply;
}

} // namespace

void
ApplyRow(PartitionLog& aLog, const LogRow& aRow)
{
  const bool isFirst = aLog.applied_ == Sequence(0);
  if (!isFirst && (aRow.sequence_.Value() != aLog.applied_.Value() + 1 ||
                   aRow.previousDigest_ != aLog.lastDigest_)) {
    throw InternalError("load ledger",
                        "",
                        "Row " + std::to_string(aRow.sequence_.Value()) +
                          " of " + PartitionName(aLog.partition_) +
                          " does not continue row " +
                          std::to_string(aLog.applied_.Value()) + ".");
  }
  ApplyEntries(aLog, aRow);
  aLog.applied_ = aRow.sequence_;
  aLog.lastToken_ = aRow.writeToken_;
  aLog.lastDigest_ = RowDigest(aRow);
  EvictOldRecords(aLog, aRow.written_);
}

void
ApplyOldClaims(PartitionLog& aLog, const LogRow& aRow)
{
  ApplyEntries(aLog, aRow);
  EvictOldRecords(aLog, aRow.written_);
}

std::optional<RegisterReply>
DecideRegister(const PartitionLog& aLog, const RegisterRequest& aRequest)
{
  if (const RequestRecord* own = FindRecord(aLog, aRequest.request_)) {
    if (own->outcome_) {
      return MakeReply(RegisterStatus::Finished, *own);
    }
    if (IsOwnedByOneOf(*own, aRequest.previousOwners_)) {
      return std::nullopt;
    }
    return MakeReply(own->claim_->owner_ == aRequest.owner_
                       ? RegisterStatus::Granted
                       : RegisterStatus::Running,
                     *own);
  }
  if (aRequest.keyDigest_.empty()) {
    return std::nullopt;
  }
  const RequestRecord* holder = FindHolder(
    aLog, KeyName(aRequest.workspace_, aRequest.service_, aRequest.keyDigest_));
  if (holder == nullptr) {
    return std::nullopt;
  }
  const std::string& body = holder->claim_ ? holder->claim_->bodyDigest_
                                           : holder->outcome_->bodyDigest_;
  if (body != aRequest.bodyDigest_) {
    return RegisterReply{ RegisterStatus::BodyMismatch, {}, {}, std::nullopt };
  }
  return MakeReply(holder->outcome_ ? RegisterStatus::Finished
                                    : RegisterStatus::Running,
                   *holder);
}

const Claim*
FindRunningClaim(const PartitionLog& aLog, const RegisterRequest& aRequest)
{
  if (aRequest.keyDigest_.empty()) {
    return nullptr;
  }
  const RequestRecord* holder = FindHolder(
    aLog, KeyName(aRequest.workspace_, aRequest.service_, aRequest.keyDigest_));
  return holder == nullptr || holder->outcome_ || !holder->claim_
           ? nullptr
           : &*holder->claim_;
}

bool
AddPending(PartitionLog& aLog, const LogEntry& aEntry)
{
  const std::string name = PendingName(aEntry);
  if (IsObsolete(aLog, aEntry) || aLog.pendingNames_.count(name) != 0) {
    return true;
  }
  PendingEntry pending{ aEntry, "" };
  TruncateForRow(pending.entry_.outcome_);
  pending.text_ = EntryToText(pending.entry_);
  if (aLog.pendingBytes_ + pending.text_.size() > kMaxPendingBytes) {
    return false;
  }
  aLog.pendingBytes_ += pending.text_.size();
  aLog.pendingNames_.insert(name);
  aLog.pending_.push_back(std::move(pending));
  return true;
}

std::optional<LogRow>
StartAppend(PartitionLog& aLog, const std::string& aWriteToken, WallTime aNow)
{
  if (aLog.inFlight_) {
    return std::nullopt;
  }
  DropObsoletePending(aLog);
  if (aLog.pending_.empty()) {
    return std::nullopt;
  }
  LogRow row;
  row.sequence_ = Sequence(aLog.applied_.Value() + 1);
  row.writeToken_ = aWriteToken;
  row.previousDigest_ = aLog.lastDigest_;
  row.written_ = aNow;
  std::set<RequestId> changed;
  for (const PendingEntry& pending : aLog.pending_) {
    // A row contains at most one outcome or transfer of each request. Later
    // ones may have no effect once the row is applied, and are evaluated again
    // after it.
    const bool isChange = pending.entry_.kind_ == EntryKind::Outcome ||
                          !pending.entry_.claim_.previousOwners_.empty();
    if (isChange && !changed.insert(RequestOf(pending.entry_)).second) {
      continue;
    }
    if (!row.entries_.empty() &&
        row.entries_.size() + pending.text_.size() > kMaxRowBytes) {
      break;
    }
    const RequestRecord* record = FindRecord(aLog, RequestOf(pending.entry_));
    const bool isClaimed = pending.entry_.kind_ == EntryKind::Outcome &&
                           record != nullptr && record->claim_;
    row.entries_ += (row.entries_.empty() ? "[" : ",") +
                    (isClaimed ? MarkClaimed(pending.text_) : pending.text_);
  }
  row.entries_ += "]";
  aLog.inFlight_ = row;
  return row;
}

void
OnAppendCommitted(PartitionLog& aLog)
{
  const LogRow row = std::move(*aLog.inFlight_);
  aLog.inFlight_.reset();
  ApplyRow(aLog, row);
  DropObsoletePending(aLog);
}

void
OnAppendNotCommitted(PartitionLog& aLog)
{
  aLog.inFlight_.reset();
}

void
DropPendingClaims(PartitionLog& aLog)
{
  DropPendingIf(aLog, [](const LogEntry& aEntry) {
    return aEntry.kind_ == EntryKind::Claim;
  });
}

void
ResetRows(PartitionLog& aLog)
{
  aLog.applied_ = Sequence(0);
  aLog.lastToken_.clear();
  aLog.lastDigest_.clear();
  aLog.requests_.clear();
  aLog.keys_.clear();
  aLog.openClaims_.clear();
  aLog.recentRequests_.clear();
  aLog.oldRequests_.clear();
}

} // namespace sycamoreward
