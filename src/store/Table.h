#pragma once

// What the system asks of the platform's transactional table.

#include "base/Ids.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// Rows are named by a partition key and a sort key and hold named text values.
struct RowKey
{
  std::string partition_;
  std::string sort_;
};

struct Row
{
  RowKey key_;
  std::map<std::string, std::string> values_;
};

enum class RowCondition
{
  None,
  // The row must not exist.
  Absent,
  // The value named conditionName_ must equal conditionValue_.
  ValueEquals
};

enum class RowOperation
{
  Put,
  Delete,
  // Checks the condition and changes nothing.
  Check
};

struct RowWrite
{
  RowOperation operation_ = RowOperation::Put;
  Row row_;
  RowCondition condition_ = RowCondition::None;
  std::string conditionName_;
  std::string conditionValue_;
};

enum class WriteResult
{
  // In the table.
  Committed,
  // A condition failed; nothing was written.
  ConditionFailed,
  // Not known: no reply, or an error after which the write may have taken
  // effect. Read the rows back before concluding anything.
  Unknown,
  // The table refused it before doing anything (throttled or malformed).
  Refused
};

struct ReadReply
{
  // False when the table could not be read.
  bool isOk_ = false;
  std::vector<Row> rows_;
};

class Table
{
public:
  virtual ~Table() = default;

  // Writes all or none of aWrites (at most 100). aWriteToken makes a repeated
  // call with the same token have no second effect.
  virtual void Write(const std::vector<RowWrite>& aWrites,
                     const std::string& aWriteToken,
                     std::function<void(WriteResult)> aOnResult) = 0;

  // Reads one row; no row in the reply when there is none.
  virtual void Read(const RowKey& aKey,
                    std::function<void(ReadReply)> aOnReply) = 0;

  // Reads rows of a partition with sort key at least aFromSort, in order of
  // sort key, at most aLimit.
  virtual void Query(const std::string& aPartition,
                     const std::string& aFromSort,
                     unsigned aLimit,
                     std::function<void(ReadReply)> aOnReply) = 0;
};

// The platform's object store.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  // Stores an object that must not exist yet. ConditionFailed when it does.
  virtual void PutNew(const std::string& aName,
                      const std::string& aBody,
                      std::function<void(WriteResult)> aOnResult) = 0;

  struct GetReply
  {
    bool isOk_ = false;
    // Empty when there is no such object.
    std::optional<std::string> body_;
  };
  virtual void Get(const std::string& aName,
                   std::function<void(GetReply)> aOnReply) = 0;

  struct ListReply
  {
    bool isOk_ = false;
    std::vector<std::string> names_;
  };
  // Names with a prefix, in order.
  virtual void List(const std::string& aPrefix,
                    std::function<void(ListReply)> aOnReply) = 0;
};

} // namespace sycamoreward
