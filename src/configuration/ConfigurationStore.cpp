#include "configuration/ConfigurationStore.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"
#include "telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace sycamoreward {

namespace {

const char* const kHeadPartition = "config";
const char* const kHeadSortKey = "head";
const char* const kLogPartition = "config/log";
const char* const kResourcePartition = "config/resource";
const char* const kRevisionValue = "revision";
const char* const kVersionValue = "resourceVersion";
const char* const kChangeValue = "change";
const char* const kTokenValue = "writeToken";

// Maximum number of retries of one commit, after races and unknown results.
constexpr unsigned kMaxRetries = 10;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
constexpr unsigned kPageSize = 200;
constexpr unsigned kMaxPages = 500;

// Sort keys are compared as text, so revisions are padded to a fixed width.
std::string
LogSortKey(Revision aRevision)
{
  const std::string digits = std::to_string(aRevision.Value());
  return std::string(20 - digits.size(), '0') + digits;
}

std::string
ResourceSortKey(ResourceKind aKind, const std::string& aName)
{
  return std::string(ToString(aKind)) + "/" + aName;
}

std::string
ValueOf(const ReadReply& aReply, const std::string& aName)
{
  if (aReply.rows_.empty()) {
    return "";
  }
  const auto& values = aReply.rows_.front().values_;
  const auto found = values.find(aName);
  return found == values.end() ? "" : found->second;
}

Revision
ReadRevision(const ReadReply& aReply, const std::string& aName)
{
  const std::string text = ValueOf(aReply, aName);
  return Revision(text.empty() ? 0 : std::stoull(text));
}

RowWrite
PutRow(const RowKey& aKey, std::map<std::string, std::string> aValues)
{
  RowWrite write;
  write.row_ = Row{ aKey, std::move(aValues) };
  return write;
}

// Requires that the row holds the revision aExpected, or that it does not exist
// when aExpected is 0.
void
RequireRevision(RowWrite& aWrite, const char* aName, Revision aExpected)
{
  if (aExpected.Value() == 0) {
    aWrite.condition_ = RowCondition::Absent;
    return;
  }
  aWrite.condition_ = RowCondition::ValueEquals;
  aWrite.conditionName_ = aName;
  aWrite.conditionValue_ = std::to_string(aExpected.Value());
}

std::vector<RowWrite>
MakeWrites(const ConfigChange& aChange,
           Revision aExpected,
           const std::string& aToken)
{
  const std::string revision = std::to_string(aChange.revision_.Value());
  const std::string text = FormatConfigChange(aChange);
  RowWrite head =
    PutRow({ kHeadPartition, kHeadSortKey }, { { kRevisionValue, revision } });
  RequireRevision(
    head, kRevisionValue, Revision(aChange.revision_.Value() - 1));
  RowWrite resource = PutRow(
    { kResourcePartition, ResourceSortKey(aChange.kind_, aChange.name_) },
    { { kVersionValue, revision }, { kChangeValue, text } });
  if (!aChange.resource_.has_value()) {
    resource.operation_ = RowOperation::Delete;
  }
  RequireRevision(resource, kVersionValue, aExpected);
  RowWrite log = PutRow({ kLogPartition, LogSortKey(aChange.revision_) },
                        { { kChangeValue, text }, { kTokenValue, aToken } });
  log.condition_ = RowCondition::Absent;
  return { head, resource, log };
}

} // namespace

struct ConfigurationStore::PendingCommit
{
  CommitRequest request_;
  std::function<void(CommitResult)> onResult_;
  ConfigChange change_;
  std::string token_;
  unsigned retries_ = 0;
  // Whether a write with the current token may still take effect.
  bool mayStillApply_ = false;
};

struct ConfigurationStore::FullRead
{
  std::function<void(std::optional<Configuration>)> onRead_;
  Revision startRevision_;
  std::vector<ConfigChange> resources_;
  unsigned pages_ = 0;
};

template<typename F>
auto
ConfigurationStore::Guard(F aCallback)
{
  return [weak = std::weak_ptr<bool>(alive_),
          callback = std::move(aCallback)](auto&&... aArguments) {
    if (!weak.expired()) {
      callback(std::forward<decltype(aArguments)>(aArguments)...);
    }
  };
}

ConfigurationStore::ConfigurationStore(EventLoop& aLoop,
                                       Table& aTable,
                                       std::function<std::string()> aMakeToken)
  : loop_(aLoop)
  , table_(aTable)
  , makeToken_(std::move(aMakeToken))
{
}

ConfigurationStore::~ConfigurationStore() = default;

void
ConfigurationStore::Commit(const CommitRequest& aRequest,
                           std::function<void(CommitResult)> aOnResult)
{
  auto commit = std::make_shared<PendingCommit>();
  commit->request_ = aRequest;
  commit->onResult_ = std::move(aOnResult);
  StartAttempt(commit);
}

// Reads the head and starts a new attempt from it, with a new token.
void
ConfigurationStore::StartAttempt(const PendingCommitRef& aCommit)
{
  ReadHead(Guard([this, aCommit](std::optional<Revision> aHead) {
    if (!aHead.has_value()) {
      Finish(aCommit, CommitStatus::Unavailable);
      return;
    }
    const Revision next(aHead->Value() + 1);
    ConfigChange& change = aCommit->change_;
    change.revision_ = next;
    change.kind_ = aCommit->request_.kind_;
    change.name_ = aCommit->request_.name_;
    change.resource_.reset();
    if (aCommit->request_.resource_.has_value()) {
      change.resource_ = WithVersion(*aCommit->request_.resource_, next);
    }
    aCommit->token_ = makeToken_();
    aCommit->mayStillApply_ = false;
    Write(aCommit);
  }));
}

void
ConfigurationStore::Write(const PendingCommitRef& aCommit)
{
  table_.Write(
    MakeWrites(aCommit->change_, aCommit->request_.expected_, aCommit->token_),
    aCommit->token_,
    Guard([this, aCommit](WriteResult aResult) {
      OnWriteResult(aCommit, aResult);
    }));
}

void
ConfigurationStore::OnWriteResult(const PendingCommitRef& aCommit,
                                  WriteResult aResult)
{
  switch (aResult) {
    case WriteResult::Committed:
      Finish(aCommit, CommitStatus::Committed);
      return;
    case WriteResult::Refused:
      // An earlier write with this token may still take effect.
      if (!aCommit->mayStillApply_) {
        Finish(aCommit, CommitStatus::Unavailable);
        return;
      }
      break;
    case WriteResult::Unknown:
      aCommit->mayStillApply_ = true;
      break;
    case WriteResult::ConditionFailed:
      break;
  }
  ReadBack(aCommit, aResult);
}

// Reads the log row of this revision, which shows which write created it.
void
ConfigurationStore::ReadBack(const PendingCommitRef& aCommit,
                             WriteResult aResult)
{
  table_.Read({ kLogPartition, LogSortKey(aCommit->change_.revision_) },
              Guard([this, aCommit, aResult](const ReadReply& aReply) {
                const bool isOwnWrite =
                  ValueOf(aReply, kTokenValue) == aCommit->token_;
                const bool hasConditionFailed =
                  aResult == WriteResult::ConditionFailed;
                if (aReply.isOk_ && isOwnWrite) {
                  Finish(aCommit, CommitStatus::Committed);
                } else if (aReply.isOk_ &&
                           (!aReply.rows_.empty() || hasConditionFailed)) {
                  // Either another change has this revision, so this write can
                  // no longer take effect; or a condition failed while the head
                  // is unchanged, so it was the condition on the resource.
                  aCommit->mayStillApply_ =
                    aCommit->mayStillApply_ && aReply.rows_.empty();
                  CheckResourceVersion(aCommit);
                } else {
                  // The write may still take effect. Repeating it with the same
                  // token settles the outcome without applying it twice.
                  Retry(aCommit, &ConfigurationStore::Write);
                }
              }));
}

void
ConfigurationStore::CheckResourceVersion(const PendingCommitRef& aCommit)
{
  const CommitRequest& request = aCommit->request_;
  table_.Read(
    { kResourcePartition, ResourceSortKey(request.kind_, request.name_) },
    Guard([this, aCommit](const ReadReply& aReply) {
      if (!aReply.isOk_) {
        Retry(aCommit, &ConfigurationStore::CheckResourceVersion);
      } else if (ReadRevision(aReply, kVersionValue) !=
                 aCommit->request_.expected_) {
        Finish(aCommit, CommitStatus::Conflict);
      } else {
        // While an earlier write may still take effect, a retry must keep its
        // token: with a new one, that write would look like another operator's
        // change.
        Retry(aCommit,
              aCommit->mayStillApply_ ? &ConfigurationStore::Write
                                      : &ConfigurationStore::StartAttempt);
      }
    }));
}

void
ConfigurationStore::Retry(
  const PendingCommitRef& aCommit,
  void (ConfigurationStore::*aStep)(const PendingCommitRef&))
{
  if (++aCommit->retries_ > kMaxRetries) {
    Finish(aCommit,
           aCommit->mayStillApply_ ? CommitStatus::Unknown
                                   : CommitStatus::Unavailable);
    return;
  }
  const Duration backoff =
    std::min(kMaxBackoff, kInitialBackoff * (1 << aCommit->retries_));
  loop_.CallAfter(backoff,
                  Guard([this, aCommit, aStep] { (this->*aStep)(aCommit); }));
}

void
ConfigurationStore::Finish(const PendingCommitRef& aCommit,
                           CommitStatus aStatus)
{
  const auto onResult = std::move(aCommit->onResult_);
  onResult(CommitResult{ aStatus, aCommit->change_ });
}

void
ConfigurationStore::ReadHead(
  std::function<void(std::optional<Revision>)> aOnRevision)
{
  table_.Read(
    { kHeadPartition, kHeadSortKey },
    Guard([onRevision = std::move(aOnRevision)](const ReadReply& aReply) {
      onRevision(aReply.isOk_
                   ? std::optional(ReadRevision(aReply, kRevisionValue))
                   : std::nullopt);
    }));
}

void
ConfigurationStore::ReadChanges(Revision aAfter,
                                unsigned aLimit,
                                OnChanges aOnChanges)
{
  table_.Query(
    kLogPartition,
    LogSortKey(Revision(aAfter.Value() + 1)),
    aLimit,
    Guard([onChanges = std::move(aOnChanges)](const ReadReply& aReply) {
      if (!aReply.isOk_) {
        onChanges(std::nullopt);
        return;
      }
      std::vector<ConfigChange> changes;
      try {
        for (const Row& row : aReply.rows_) {
          changes.push_back(ParseConfigChange(row.values_.at(kChangeValue)));
        }
      } catch (const std::exception& error) {
        // Keeps the changes read so far. A malformed change can't be skipped,
        // because changes are applied in order.
        LogFor("configuration")->error("{}", error.what());
      }
      onChanges(std::move(changes));
    }));
}

// Resources may change while they are read. This is corrected by applying all
// changes since the head that was read first.
void
ConfigurationStore::ReadAll(
  std::function<void(std::optional<Configuration>)> aOnRead)
{
  auto read = std::make_shared<FullRead>();
  read->onRead_ = std::move(aOnRead);
  ReadHead(Guard([this, read](std::optional<Revision> aHead) {
    if (!aHead.has_value()) {
      read->onRead_(std::nullopt);
      return;
    }
    read->startRevision_ = *aHead;
    ReadResources(read, "");
  }));
}

void
ConfigurationStore::ReadResources(const FullReadRef& aRead,
                                  const std::string& aFrom)
{
  table_.Query(kResourcePartition,
               aFrom,
               kPageSize,
               Guard([this, aRead](const ReadReply& aReply) {
                 if (!aReply.isOk_ || ++aRead->pages_ > kMaxPages) {
                   aRead->onRead_(std::nullopt);
                   return;
                 }
                 try {
                   for (const Row& row : aReply.rows_) {
                     aRead->resources_.push_back(
                       ParseConfigChange(row.values_.at(kChangeValue)));
                   }
                 } catch (const std::exception& error) {
                   LogFor("configuration")->error("{}", error.what());
                   aRead->onRead_(std::nullopt);
                   return;
                 }
                 if (aReply.rows_.size() == kPageSize) {
                   // Continues at the smallest key above the last one.
                   ReadResources(aRead,
                                 aReply.rows_.back().key_.sort_ + '\x01');
                 } else {
                   CatchUp(aRead);
                 }
               }));
}

void
ConfigurationStore::CatchUp(const FullReadRef& aRead)
{
  ReadChanges(
    aRead->startRevision_,
    kPageSize,
    Guard([aRead](const std::optional<std::vector<ConfigChange>>& aChanges) {
      if (!aChanges.has_value() || aChanges->size() == kPageSize) {
        aRead->onRead_(std::nullopt);
        return;
      }
      ConfigState state;
      state.ApplySnapshot(
        MakeConfiguration(aRead->startRevision_, aRead->resources_));
      state.ApplyChanges(*aChanges);
      aRead->onRead_(*state.Current());
    }));
}

} // namespace sycamoreward
