#include "ledger/Partition.h"

#include "base/Error.h"

#include <xxhash.h>

#include <cstdio>

namespace sycamoreward {

namespace {

constexpr std::size_t kMaxRequestIdSize = 128;

[[noreturn]] void
ThrowMalformedRequestId(const RequestId& aRequest)
{
  throw UserError("lookup",
                  "",
                  "The request id \"" +
                    aRequest.Value().substr(0, kMaxRequestIdSize) +
                    "\" is not of the form region.partition.random.");
}

bool
IsHex(const std::string& aText)
{
  return !aText.empty() &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

LedgerPartition
ChoosePartition(const RegionId& aRegion,
                const WorkspaceId& aWorkspace,
                const ServiceName& aService,
                const std::string& aKeyDigest)
{
  const std::string text =
    aWorkspace.Value() + "\n" + aService.Value() + "\n" + aKeyDigest;
  const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
  return { aRegion,
           PartitionId(
             static_cast<std::uint32_t>(hash % kPartitionsPerRegion)) };
}

RequestId
FormatRequestId(const LedgerPartition& aPartition, const std::string& aRandom)
{
  return RequestId(aPartition.region_.Value() + "." +
                   std::to_string(aPartition.partition_.Value()) + "." +
                   aRandom);
}

LedgerPartition
ParsePartition(const RequestId& aRequest)
{
  const std::string& text = aRequest.Value();
  const std::size_t last = text.rfind('.');
  if (text.size() > kMaxRequestIdSize || last == std::string::npos ||
      last < 3 || !IsHex(text.substr(last + 1))) {
    ThrowMalformedRequestId(aRequest);
  }
  const std::size_t first = text.rfind('.', last - 1);
  if (first == std::string::npos || first == 0 || last != first + 2) {
    ThrowMalformedRequestId(aRequest);
  }
  const char digit = text[first + 1];
  if (digit < '0' || digit >= static_cast<char>('0' + kPartitionsPerRegion)) {
    ThrowMalformedRequestId(aRequest);
  }
  return { RegionId(text.substr(0, first)),
           PartitionId(static_cast<std::uint32_t>(digit - '0')) };
}

std::string
PartitionName(const LedgerPartition& aPartition)
{
  return "ledger/" + aPartition.region_.Value() + "/" +
         std::to_string(aPartition.partition_.Value());
}

std::string
HexOf(std::uint64_t aValue)
{
  char text[17];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(aValue));
  return text;
}

} // namespace sycamoreward
