#include "ledger/PartitionRules.h"

#include <algorithm>

namespace sycamoreward {

std::string
KeyName(const WorkspaceId& aWorkspace,
        const ServiceName& aService,
        const std::string& aKeyDigest)
{
  return aWorkspace.Value() + "\n" + aService.Value() + "\n" + aKeyDigest;
}

bool
IsWithdrawn(const RequestRecord& aRecord)
{
  return aRecord.outcome_ && aRecord.outcome_->kind_ == OutcomeKind::NotRun;
}

const RequestRecord*
FindHolder(const PartitionLog& aLog, const std::string& aKeyName)
{
  const auto key = aLog.keys_.find(aKeyName);
  if (key == aLog.keys_.end()) {
    return nullptr;
  }
  const auto record = aLog.requests_.find(key->second);
  return record == aLog.requests_.end() || IsWithdrawn(record->second)
           ? nullptr
           : &record->second;
}

const RequestRecord*
FindRecord(const PartitionLog& aLog, const RequestId& aRequest)
{
  const auto found = aLog.requests_.find(aRequest);
  return found == aLog.requests_.end() ? nullptr : &found->second;
}

bool
IsOwnedByOneOf(const RequestRecord& aRecord,
               const std::vector<InstanceId>& aOwners)
{
  return aRecord.claim_ && !aRecord.outcome_ &&
         std::find(aOwners.begin(), aOwners.end(), aRecord.claim_->owner_) !=
           aOwners.end();
}

bool
IsClaimPossible(const PartitionLog& aLog, const Claim& aClaim)
{
  const RequestRecord* record = FindRecord(aLog, aClaim.request_);
  if (record != nullptr) {
    return IsOwnedByOneOf(*record, aClaim.previousOwners_);
  }
  return aClaim.keyDigest_.empty() ||
         FindHolder(
           aLog,
           KeyName(aClaim.workspace_, aClaim.service_, aClaim.keyDigest_)) ==
           nullptr;
}

bool
MatchesHolder(const RequestRecord& aRecord, const LogEntry& aEntry)
{
  return !aEntry.settledHolder_ || !aRecord.claim_ ||
         (aRecord.claim_->owner_ == aEntry.settledHolder_->owner_ &&
          aRecord.claim_->ownerIncarnation_ ==
            aEntry.settledHolder_->incarnation_);
}

bool
IsObsolete(const PartitionLog& aLog, const LogEntry& aEntry)
{
  if (aEntry.kind_ == EntryKind::Claim) {
    return !IsClaimPossible(aLog, aEntry.claim_);
  }
  const RequestRecord* record = FindRecord(aLog, aEntry.outcome_.request_);
  return record != nullptr &&
         (record->outcome_ || !MatchesHolder(*record, aEntry));
}

} // namespace sycamoreward
