#pragma once

// Finds out whether a conditional insert whose reply was lost took effect.

#include "base/Clock.h"
#include "store/Table.h"

#include <functional>
#include <string>

namespace sycamoreward {

class EventLoop;

// Name of the value in which a row keeps the token of the write that made it.
extern const char* const kWriteTokenName;

enum class InsertState
{
  // The row carries the token: the insert took effect.
  Inserted,
  // The row carries another token: the insert can never take effect.
  LostRace,
  // The row does not exist now. The insert may still take effect later, so
  // nothing may be concluded from it alone; only a next insert that is
  // conditional on the same key decides.
  Absent,
  // The table could not be read.
  Unreadable
};

// What a read of the row says about an insert with aWriteToken.
InsertState
ClassifyInsert(const ReadReply& aReply, const std::string& aWriteToken);

struct ResolveLimits
{
  unsigned maxReads_ = 8;
  Duration initialDelay_ = std::chrono::milliseconds(100);
  Duration maxDelay_ = std::chrono::seconds(5);
};

// Reads the row until the table answers or aLimits.maxReads_ is reached, with
// doubled waits, and calls aOnState once. aTable and aLoop outlive the call;
// aOnState has to check itself that its owner still exists.
void
ResolveInsert(Table& aTable,
              EventLoop& aLoop,
              const RowKey& aKey,
              const std::string& aWriteToken,
              const ResolveLimits& aLimits,
              std::function<void(InsertState)> aOnState);

} // namespace sycamoreward
