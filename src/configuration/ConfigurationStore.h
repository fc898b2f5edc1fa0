#pragma once

// The configuration in the platform's table: "config/head" holds the revision,
// "config/resource" the resources, "config/log" one row for each change.

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
  // The resource is not at the version that the operator read.
  Conflict,
  // Nothing was written, because the table can't be reached or refuses.
  Unavailable,
  // The table did not tell within the limit whether the change is committed.
  Unknown
};

struct CommitRequest
{
  ResourceKind kind_ = ResourceKind::Service;
  std::string name_;
  // Empty deletes.
  std::optional<Resource> resource_;
  // Version that the operator read; 0 for a resource that must not exist.
  Revision expected_;
};

struct CommitResult
{
  CommitStatus status_ = CommitStatus::Unavailable;
  // The change, when committed.
  ConfigChange change_;
};

class ConfigurationStore
{
public:
  // aMakeToken gives a new text for each write that no other write has.
  ConfigurationStore(EventLoop& aLoop,
                     Table& aTable,
                     std::function<std::string()> aMakeToken);
  ~ConfigurationStore();
  ConfigurationStore(const ConfigurationStore&) = delete;
  ConfigurationStore& operator=(const ConfigurationStore&) = delete;

  // Writes a change. A race with a change of another resource is tried again.
  void Commit(const CommitRequest& aRequest,
              std::function<void(CommitResult)> aOnResult);

  // Reads the revision; empty when the table can't be read.
  void ReadHead(std::function<void(std::optional<Revision>)> aOnRevision);

  // Reads up to aLimit changes after a revision, in order; empty optional when
  // the table can't be read.
  using OnChanges =
    std::function<void(std::optional<std::vector<ConfigChange>>)>;
  void ReadChanges(Revision aAfter, unsigned aLimit, OnChanges aOnChanges);

  // Reads the whole configuration; empty when the table can't be read.
  void ReadAll(std::function<void(std::optional<Configuration>)> aOnRead);

private:
  struct PendingCommit;
  struct FullRead;

  using PendingCommitRef = std::shared_ptr<PendingCommit>;
  using FullReadRef = std::shared_ptr<FullRead>;

  // A callback that has no effect after this object is gone.
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
