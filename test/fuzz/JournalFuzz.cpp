// Fuzzes the parsers of ledger rows and segments. Guards against a damaged row
// that terminates the process instead of being reported.

#include "base/Error.h"
#include "ledger/Chain.h"
#include "ledger/LogRow.h"
#include "store/ResolveInsert.h"

#include <fuzzer/FuzzedDataProvider.h>

using namespace sycamoreward;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  FuzzedDataProvider provider(aData, aSize);
  Row row;
  row.key_ = { "ledger/r/0", provider.ConsumeRandomLengthString(24) };
  row.values_["writtenUs"] = provider.ConsumeRandomLengthString(24);
  row.values_["previous"] = provider.ConsumeRandomLengthString(64);
  row.values_[kWriteTokenName] = "token";
  const std::string text = provider.ConsumeRemainingBytesAsString();
  row.values_["entries"] = text;
  try {
    const LogRow parsed = FromTableRow(row);
    for (const LogEntry& entry : ParseEntries(parsed)) {
      RequestOf(entry);
      EntryToText(entry);
    }
    ExtractClaims({ parsed });
  } catch (const Error&) {
  }
  try {
    ParseSegment("segment", text);
  } catch (const Error&) {
  }
  return 0;
}
