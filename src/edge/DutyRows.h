#pragma once

// Tables, keys and content of the store rows that the duties use. Another
// writer may have written a row, so what can't be read is told apart.

#include "edge/DutyLease.h"
#include "edge/RowStore.h"
#include "edge/UsageCounts.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward::edge {

constexpr const char* kDutyTable = "duties";
constexpr const char* kLeaseKey = "holder";
// Key of the row with the counts of windows that are not reported yet. It
// preserves them if all processes end.
constexpr const char* kProgressKey = "usage";
// Table of the counts that were fixed for reporting, by window.
constexpr const char* kUsageTable = "usage";

// Time after a window's end within which its usage is reported.
constexpr Duration kUsageDeadline = std::chrono::seconds(25);

std::string
EncodeLease(const LeaseRow& aRow);

// Returns a row without a holder if the content can't be read.
LeaseRow
DecodeLease(const StoreRow& aRow);

// Returns nullopt if aText is not a JSON object of whole numbers.
std::optional<WorkspaceCounts>
DecodeCounts(const std::string& aText);

// Returns null if there is no such row.
inline const StoreRow*
FindRow(const std::vector<StoreRow>& aRows, const std::string& aKey)
{
  const auto found =
    std::find_if(aRows.begin(), aRows.end(), [&](const StoreRow& aRow) {
      return aRow.key_ == aKey && !aRow.isDeleted_ && aRow.version_ != 0;
    });
  return found == aRows.end() ? nullptr : &*found;
}

} // namespace sycamoreward::edge
