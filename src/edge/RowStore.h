#pragma once

// The platform's store of rows, as the tasks use it.

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sycamoreward::edge {

struct StoreRow
{
  std::string table_;
  std::string key_;
  std::string value_;
  // Version of the store at which the row was written.
  std::uint64_t version_ = 0;
  bool isDeleted_ = false;
};

enum class StoreStatus
{
  Ok,
  // A condition of a write does not hold; the rows show what is there.
  Conflict,
  // The history since the requested version is gone.
  HistoryGone,
  // Nothing was done.
  Refused,
  // It is not known whether a write was done.
  Unknown
};

struct StoreReply
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::vector<StoreRow> rows_;
  // Newest version of the store.
  std::uint64_t version_ = 0;
  bool hasMore_ = false;
};

// A write of rows with the conditions under which it is done.
struct StoreWrite
{
  struct Condition
  {
    std::string table_;
    std::string key_;
    // 0 when the row must not exist.
    std::uint64_t version_ = 0;
  };
  std::vector<Condition> conditions_;
  std::vector<StoreRow> rows_;
  std::vector<StoreRow> removed_;
};

class RowStore
{
public:
  using OnReply = std::function<void(const StoreReply& aReply)>;

  virtual ~RowStore() = default;

  // The rows of a table with keys after aAfter.
  virtual void Read(const std::string& aTable,
                    const std::string& aAfter,
                    OnReply aOnReply) = 0;

  // Waits up to aWait for changes of a table after aVersion.
  virtual void Watch(const std::string& aTable,
                     std::uint64_t aVersion,
                     Duration aWait,
                     OnReply aOnReply) = 0;

  virtual void Write(const StoreWrite& aWrite, OnReply aOnReply) = 0;
};

} // namespace sycamoreward::edge
