#pragma once

// Stores the configuration in the platform's table: "config/head" holds the
// revision, "config/resource" the resources, and "config/log" one row for each
// change.

#include "configuration/ConfigState.h"
#include "store/Table.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

class EventLoop;

enum class CommitStatus
{
  Committed,
  // The resource no longer has the version that the operator read.
  Conflict,
  // Nothing was written, because the table is unreachable or refused the write.
  Unavailable,
  // The table did not confirm before the retries ran out whether the change was
  // committed.
  Unknown
};

struct CommitRequest
{
  ResourceKind kind_ = ResourceKind::Service;
  std::string name_;
  // The new resource; empty to delete it.
  std::optional<Resource> resource_;
  // Version that the operator read; 0 when the resource must not exist yet.
  Revision expected_;
};

struct CommitResult
{
  CommitStatus status_ = CommitStatus::Unavailable;
  // The committed change; only meaningful for CommitStatus::Committed.
  ConfigChange change_;
};

class ConfigurationStore
{
public:
  // aMakeToken returns a token that no other write uses.
  ConfigurationStore(EventLoop& aLoop,
                     Table& aTable,
                     std::function<std::string()> aMakeToken);
  ~ConfigurationStore();
  ConfigurationStore(const ConfigurationStore&) = delete;
  ConfigurationStore& operator=(const ConfigurationStore&) = delete;

  // Commits a change. Retries when a change of another resource was committed
  // at the same time.
  void Commit(const CommitRequest& aRequest,
              std::function<void(CommitResult)> aOnResult);

  // Reads the current revision; empty when the table is unreachable.
  void ReadHead(std::function<void(std::optional<Revision>)> aOnRevision);

  // Reads up to aLimit changes after a revision, in order; empty when the table
  // is unreachable.
  using OnChanges =
    std::function<void(std::optional<std::vector<ConfigChange>>)>;
  void ReadChanges(Revision aAfter, unsigned aLimit, OnChanges aOnChanges);

  // Reads the complete configuration; empty when the table is unreachable.
  void ReadAll(std::function<void(std::optional<Configuration>)> aOnRead);

private:
  struct PendingCommit;
  struct FullRead;

  using PendingCommitRef = std::shared_ptr<PendingCommit>;
  using FullReadRef = std::shared_ptr<FullRead>;

  // Wraps a callback so that it does nothing once this object has been
  // destroyed.
  template<typename F>
  auto Guard(F aCallback);

  void StartAttempt(const PendingCommitRef& aCommit);
  void Write(const PendingCommitRef& aCommit);
  void OnWriteResult(const PendingCommitRef& aCommit, WriteResult aResult);
  void ReadBack(const PendingCommitRef& aCommit, WriteResult aResult);
  void CheckResourceVersion(const PendingCommitRef& aCommit);
  void Retry(const PendingCommitRef& aCommit,
             void (ConfigurationStore::*aStep)(const PendingCommitRef&));
  void Finish(const PendingCommitRef& aCommit, CommitStatus aStatus);

  void ReadResources(const FullReadRef& aRead, const std::string& aFrom);
  void CatchUp(const FullReadRef& aRead);

  EventLoop& loop_;
  Table& table_;
  std::function<std::string()> makeToken_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
