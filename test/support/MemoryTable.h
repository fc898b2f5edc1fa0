#pragma once

// An in-memory table for tests. It can hold writes, so that a test can drop
// them or their replies, or apply them late.

#include "store/Table.h"

#include <deque>
#include <map>

namespace sycamoreward {

class MemoryTable final : public Table
{
public:
  // When set, writes are queued in held_, to be applied or dropped by the test;
  // otherwise they are applied and answered immediately.
  bool isHeld_ = false;
  // Simulates an outage: reads fail and writes are refused.
  bool isDown_ = false;

  struct HeldWrite
  {
    std::vector<RowWrite> writes_;
    std::function<void(WriteResult)> onResult_;
  };
  std::deque<HeldWrite> held_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  // Number of Write calls.
  unsigned writes_ = 0;

  void Write(const std::vector<RowWrite>& aWrites,
             const std::string&,
             std::function<void(WriteResult)> aOnResult) override
  {
    ++writes_;
    if (isDown_) {
      aOnResult(WriteResult::Refused);
    } else if (isHeld_) {
      held_.push_back({ aWrites, std::move(aOnResult) });
    } else {
      aOnResult(Apply(aWrites));
    }
  }

  void Read(const RowKey& aKey,
            std::function<void(ReadReply)> aOnReply) override
  {
    ReadReply reply;
    reply.isOk_ = !isDown_;
    const auto found = rows_.find({ aKey.partition_, aKey.sort_ });
    if (!isDown_ && found != rows_.end()) {
      reply.rows_.push_back(found->second);
    }
    aOnReply(std::move(reply));
  }

  void Query(const std::string& aPartition,
             const std::string& aFromSort,
             unsigned aLimit,
             std::function<void(ReadReply)> aOnReply) override
  {
    ReadReply reply;
    reply.isOk_ = !isDown_;
    for (auto row = rows_.lower_bound({ aPartition, aFromSort });
         !isDown_ && row != rows_.end() && row->first.first == aPartition &&
         reply.rows_.size() < aLimit;
         ++row) {
      reply.rows_.push_back(row->second);
    }
    aOnReply(std::move(reply));
  }

  // Applies a transaction if the conditions of all its writes are met.
  WriteResult Apply(const std::vector<RowWrite>& aWrites)
  {
    for (const RowWrite& write : aWrites) {
      if (!IsConditionMet(write)) {
        return WriteResult::ConditionFailed;
      }
    }
    for (const RowWrite& write : aWrites) {
      const std::pair<std::string, std::string> key{ write.row_.key_.partition_,
                                                     write.row_.key_.sort_ };
      if (write.operation_ == RowOperation::Put) {
        rows_[key] = write.row_;
      } else if (write.operation_ == RowOperation::Delete) {
        rows_.erase(key);
      }
    }
    return WriteResult::Committed;
  }

private:
  bool IsConditionMet(const RowWrite& aWrite) const
  {
    const RowKey& key = aWrite.row_.key_;
    const auto found = rows_.find({ key.partition_, key.sort_ });
    if (aWrite.condition_ == RowCondition::Absent) {
      return found == rows_.end();
    }
    if (aWrite.condition_ == RowCondition::None) {
      return true;
    }
    if (found == rows_.end()) {
      return false;
    }
    const auto value = found->second.values_.find(aWrite.conditionName_);
    return value != found->second.values_.end() &&
           value->second == aWrite.conditionValue_;
  }
};

} // namespace sycamoreward
