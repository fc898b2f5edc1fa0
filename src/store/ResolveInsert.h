#pragma once

// Determines whether a conditional insert took effect when its reply was lost.

#include "base/Clock.h"
#include "store/Table.h"

#include <functional>
#include <string>

namespace sycamoreward {

class EventLoop;

// Name of the row value that holds the token of the write that created the row.
extern const char* const kWriteTokenName;

enum class InsertState
{
  // The row holds the token: the insert took effect.
  Inserted,
  // The row holds another token: the insert can never take effect.
  LostRace,
  // The row does not exist yet. The insert may still take effect later, so this
  // proves nothing; only another conditional insert of the same key decides.
  Absent,
  // The table could not be read.
  Unreadable
};

// Classifies the state of an insert with aWriteToken from a read of its row.
InsertState
ClassifyInsert(const ReadReply& aReply, const std::string& aWriteToken);

// The delay between reads doubles from initialDelay_ up to maxDelay_.
struct ResolveLimits
{
  unsigned maxReads_ = 8;
  Duration initialDelay_ = std::chrono::milliseconds(100);
  Duration maxDelay_ = std::chrono::seconds(5);
};

// Reads the row until the table answers or aLimits.maxReads_ reads have failed,
// with exponential backoff, and calls aOnState once. aTable and aLoop must
// outlive the operation; aOnState must check that its owner still exists.
void
ResolveInsert(Table& aTable,
              EventLoop& aLoop,
              const RowKey& aKey,
              const std::string& aWriteToken,
              const ResolveLimits& aLimits,
              std::function<void(InsertState)> aOnState);

} // namespace sycamoreward
