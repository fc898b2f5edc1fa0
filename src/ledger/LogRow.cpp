#include "ledger/LogRow.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "ledger/OutcomeJson.h"
#include "store/ResolveInsert.h"

#include <algorithm>
#include <cstdio>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

const char* const kPrevious = "previous";
const char* const kWritten = "writtenUs";
const char* const kEntries = "entries";
const char* const kMoved = "moved";

template<typename Id>
Json
IdsToJson(const std::vector<Id>& aIds)
{
  Json list = Json::array();
  for (const Id& id : aIds) {
    list.push_back(id.Value());
  }
  return list;
}

template<typename Id>
std::vector<Id>
IdsFromJson(const Json& aObject, const char* aName)
{
  std::vector<Id> ids;
  const auto list = aObject.find(aName);
  if (list != aObject.end()) {
    for (const Json& id : *list) {
      ids.emplace_back(id.get<std::string>());
    }
  }
  return ids;
}

Json
ClaimToJson(const Claim& aClaim)
{
  Json json{ { "request", aClaim.request_.Value() },
             { "workspace", aClaim.workspace_.Value() },
             { "service", aClaim.service_.Value() },
             { "keyDigest", aClaim.keyDigest_ },
             { "bodyDigest", aClaim.bodyDigest_ },
             { "owner", aClaim.owner_.Value() },
             { "ownerIncarnation", aClaim.ownerIncarnation_.Value() } };
  if (!aClaim.servers_.empty()) {
    json["servers"] = IdsToJson(aClaim.servers_);
  }
  if (!aClaim.previousOwners_.empty()) {
    json["previousOwners"] = IdsToJson(aClaim.previousOwners_);
  }
  return json;
}

Claim
ClaimFromJson(const Json& aJson)
{
  Claim claim;
  claim.request_ = RequestId(aJson.at("request").get<std::string>());
  claim.workspace_ = WorkspaceId(aJson.at("workspace").get<std::string>());
  claim.service_ = ServiceName(aJson.at("service").get<std::string>());
  claim.keyDigest_ = aJson.at("keyDigest").get<std::string>();
  claim.bodyDigest_ = aJson.at("bodyDigest").get<std::string>();
  claim.owner_ = InstanceId(aJson.at("owner").get<std::string>());
  claim.ownerIncarnation_ =
    Incarnation(aJson.value("ownerIncarnation", std::uint64_t{ 0 }));
  claim.servers_ = IdsFromJson<ServerId>(aJson, "servers");
  claim.previousOwners_ = IdsFromJson<InstanceId>(aJson, "previousOwners");
  return claim;
}

LogEntry
EntryFromJson(const Json& aJson)
{
  LogEntry entry;
  if (aJson.contains("claim")) {
    entry.claim_ = ClaimFromJson(aJson.at("claim"));
  } else {
    entry.kind_ = EntryKind::Outcome;
    entry.outcome_ = OutcomeFromJson(aJson.at("outcome"));
    entry.isClaimed_ = aJson.value("claimed", false);
    const auto settles = aJson.find("settles");
    if (settles != aJson.end()) {
      entry.settledHolder_ = {
        InstanceId(settles->at("owner").get<std::string>()),
        Incarnation(settles->at("incarnation").get<std::uint64_t>())
      };
    }
  }
  return entry;
}

bool
IsNeededLater(const LogEntry& aEntry)
{
  return aEntry.kind_ == EntryKind::Claim || aEntry.isClaimed_ ||
         aEntry.outcome_.kind_ == OutcomeKind::NotRun;
}

std::string
ExtractClaimEntries(const LogRow& aRow)
{
  std::string text = "[";
  for (LogEntry& entry : ParseEntries(aRow)) {
    if (IsNeededLater(entry)) {
      entry.outcome_.answer_.reset();
      entry.outcome_.attempts_.clear();
      const std::string entryText = EntryToText(entry);
      text += (text.size() > 1 ? "," : "") +
              (entry.isClaimed_ ? MarkClaimed(entryText) : entryText);
    }
  }
  return text + "]";
}

const std::string&
ValueOf(const Row& aRow, const std::string& aName)
{
  const auto found = aRow.values_.find(aName);
  if (found == aRow.values_.end()) {
    throw InternalError("load ledger",
                        "",
                        "The row " + aRow.key_.partition_ + "/" +
                          aRow.key_.sort_ + " has no value \"" + aName + "\".");
  }
  return found->second;
}

} // namespace

void
CheckRequestId(const RegisterRequest& aRequest)
{
  const LedgerPartition partition = ParsePartition(aRequest.request_);
  if (!aRequest.keyDigest_.empty() &&
      !(partition == ChoosePartition(aRequest.region_,
                                     aRequest.workspace_,
                                     aRequest.service_,
                                     aRequest.keyDigest_))) {
    throw UserError("claim",
                    aRequest.owner_.Value(),
                    "The request id " + aRequest.request_.Value() +
                      " does not belong to the partition of its key.");
  }
}

const RequestId&
RequestOf(const LogEntry& aEntry)
{
  return aEntry.kind_ == EntryKind::Claim ? aEntry.claim_.request_
                                          : aEntry.outcome_.request_;
}

void
TruncateForRow(Outcome& aOutcome)
{
  constexpr std::size_t kMaxTextBytes = 1024;
  constexpr std::size_t kMaxAttempts = 32;
  if (aOutcome.answer_ &&
      aOutcome.answer_->body_.size() > kMaxKeptAnswerBytes) {
    aOutcome.answer_.reset();
  }
  if (aOutcome.evidence_.size() > kMaxTextBytes) {
    aOutcome.evidence_.resize(kMaxTextBytes);
  }
  if (aOutcome.attempts_.size() > kMaxAttempts) {
    aOutcome.attempts_.erase(aOutcome.attempts_.begin(),
                             aOutcome.attempts_.end() - kMaxAttempts);
  }
  for (AttemptRecord& attempt : aOutcome.attempts_) {
    attempt.end_.resize(std::min(attempt.end_.size(), kMaxTextBytes));
  }
}

std::string
MarkClaimed(const std::string& aEntryText)
{
  return "{\"claimed\":true," + aEntryText.substr(1);
}

std::vector<LogRow>
ExtractClaims(const std::vector<LogRow>& aRows)
{
  std::vector<LogRow> result;
  for (const LogRow& row : aRows) {
    LogRow claims = row;
    claims.entries_ = ExtractClaimEntries(row);
    if (claims.entries_ != "[]" || &row == &aRows.back()) {
      result.push_back(std::move(claims));
    }
  }
  return result;
}

std::string
EntryToText(const LogEntry& aEntry)
{
  Json json = aEntry.kind_ == EntryKind::Claim
                ? Json{ { "claim", ClaimToJson(aEntry.claim_) } }
                : Json{ { "outcome", OutcomeToJson(aEntry.outcome_) } };
  if (aEntry.settledHolder_) {
    json["settles"] = { { "owner", aEntry.settledHolder_->owner_.Value() },
                        { "incarnation",
                          aEntry.settledHolder_->incarnation_.Value() } };
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<LogEntry>
ParseEntries(const LogRow& aRow)
{
  try {
    std::vector<LogEntry> entries;
    for (const Json& entry : Json::parse(aRow.entries_)) {
      entries.push_back(EntryFromJson(entry));
    }
    return entries;
  } catch (const Json::exception& error) {
    throw InternalError("load ledger",
                        "",
                        "The entries of ledger row " +
                          std::to_string(aRow.sequence_.Value()) +
                          " are malformed: " + error.what());
  }
}

std::string
RowDigest(const LogRow& aRow)
{
  // The entries come last, so that different rows never give the same text.
  return Sha256Hex(SortKey(aRow.sequence_) + "\n" + aRow.writeToken_ + "\n" +
                   aRow.previousDigest_ + "\n" +
                   std::to_string(aRow.written_.time_since_epoch().count()) +
                   "\n" + aRow.entries_);
}

std::string
SortKey(Sequence aSequence)
{
  char text[21];
  std::snprintf(text,
                sizeof(text),
                "%020llu",
                static_cast<unsigned long long>(aSequence.Value()));
  return text;
}

Row
ToTableRow(const LedgerPartition& aPartition, const LogRow& aRow)
{
  Row row;
  row.key_ = { PartitionName(aPartition), SortKey(aRow.sequence_) };
  row.values_[kWriteTokenName] = aRow.writeToken_;
  row.values_[kPrevious] = aRow.previousDigest_;
  row.values_[kWritten] =
    std::to_string(aRow.written_.time_since_epoch().count());
  row.values_[kEntries] = aRow.entries_;
  return row;
}

LogRow
FromTableRow(const Row& aRow)
{
  LogRow row;
  row.writeToken_ = ValueOf(aRow, kWriteTokenName);
  row.previousDigest_ = ValueOf(aRow, kPrevious);
  row.entries_ = ValueOf(aRow, kEntries);
  try {
    row.sequence_ = Sequence(std::stoull(aRow.key_.sort_));
    row.written_ = WallTime(Duration(std::stoll(ValueOf(aRow, kWritten))));
  } catch (const std::logic_error&) {
    throw InternalError("load ledger",
                        "",
                        "The row " + aRow.key_.partition_ + "/" +
                          aRow.key_.sort_ + " has a malformed number.");
  }
  return row;
}

Row
MakeMovedMarker(const LedgerPartition& aPartition, Sequence aSequence)
{
  Row row;
  row.key_ = { PartitionName(aPartition), SortKey(aSequence) };
  row.values_[kWriteTokenName] = kMoved;
  row.values_[kMoved] = "yes";
  return row;
}

bool
IsMovedMarker(const Row& aRow)
{
  return aRow.values_.count(kMoved) != 0;
}

std::vector<RowWrite>
MakeAppendWrites(const LedgerPartition& aPartition,
                 const LogRow& aRow,
                 const std::string& aPreviousToken)
{
  RowWrite insert;
  insert.row_ = ToTableRow(aPartition, aRow);
  insert.condition_ = RowCondition::Absent;
  std::vector<RowWrite> writes{ insert };
  if (aRow.sequence_ > Sequence(1)) {
    RowWrite check;
    check.operation_ = RowOperation::Check;
    check.row_.key_ = { PartitionName(aPartition),
                        SortKey(Sequence(aRow.sequence_.Value() - 1)) };
    check.condition_ = RowCondition::ValueEquals;
    check.conditionName_ = kWriteTokenName;
    check.conditionValue_ = aPreviousToken;
    writes.push_back(check);
  }
  return writes;
}

} // namespace sycamoreward
