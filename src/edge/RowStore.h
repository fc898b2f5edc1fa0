#pragma once

// Interface to the platform's store of rows.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sycamoreward::edge {

// A version of the store. The numbers of different eras can't be compared.
struct StoreVersion
{
  StoreEra era_;
  std::uint64_t number_ = 0;
};

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
  // The store no longer has the history since the requested version.
  HistoryGone,
  // The call was refused and had no effect.
  Refused,
  // It is unknown whether a write took effect.
  Unknown
};

struct StoreReply
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::vector<StoreRow> rows_;
  // Latest version of the store.
  std::uint64_t version_ = 0;
  bool hasMore_ = false;
  StoreEra era_;
};

// A write of rows, carried out only if all conditions hold.
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

  // Reads the rows of a table with keys after aAfter.
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
