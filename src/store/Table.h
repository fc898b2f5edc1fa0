#pragma once

// Interfaces of the platform's transactional table and object store.

#include "base/Ids.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// Key of a row.
struct RowKey
{
  std::string partition_;
  std::string sort_;
};

// A row holds named text values.
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

// One action of a transaction.
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
  // The write took effect.
  Committed,
  // A condition failed; nothing was written.
  ConditionFailed,
  // No reply, or an error after which the write may have taken effect or may
  // still do so. Read the rows back before drawing conclusions.
  Unknown,
  // The table refused the write without any effect (not connected, throttled,
  // malformed, or cancelled by a conflict).
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

  // Applies aWrites (at most 100) atomically. Calls with the same aWriteToken
  // are idempotent.
  virtual void Write(const std::vector<RowWrite>& aWrites,
                     const std::string& aWriteToken,
                     std::function<void(WriteResult)> aOnResult) = 0;

  // Reads one row. The reply has no rows when the row does not exist.
  virtual void Read(const RowKey& aKey,
                    std::function<void(ReadReply)> aOnReply) = 0;

  // Reads at most aLimit rows of a partition, in order of sort key, starting at
  // the first sort key not less than aFromSort.
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

  // Stores a new object. Returns ConditionFailed when the object exists.
  virtual void PutNew(const std::string& aName,
                      const std::string& aBody,
                      std::function<void(WriteResult)> aOnResult) = 0;

  struct GetReply
  {
    // False when the store could not be read.
    bool isOk_ = false;
    // Empty when the object does not exist.
    std::optional<std::string> body_;
  };
  virtual void Get(const std::string& aName,
                   std::function<void(GetReply)> aOnReply) = 0;

  struct ListReply
  {
    bool isOk_ = false;
    std::vector<std::string> names_;
  };
  // Lists the names that start with aPrefix, in lexicographic order.
  virtual void List(const std::string& aPrefix,
                    std::function<void(ListReply)> aOnReply) = 0;
};

} // namespace sycamoreward
