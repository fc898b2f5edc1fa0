#include "JournalVerify.h"

#include "base/Error.h"
#include "ledger/Journal.h"
#include "ledger/Partition.h"
#include "runtime/EventLoop.h"
#include "store/DynamoTable.h"
#include "store/S3ObjectStore.h"

#include <optional>

namespace sycamoreward {

namespace {

constexpr Duration kPartitionTimeout = std::chrono::minutes(10);

StoreOptions
MakeStoreOptions(const Address& aAddress, const std::string& aName)
{
  StoreOptions options;
  options.address_ = aAddress;
  options.name_ = aName;
  return options;
}

ChainReport
VerifyPartition(EventLoop& aLoop,
                Journal& aJournal,
                const LedgerPartition& aPartition)
{
  std::optional<Journal::VerifyReply> reply;
  aJournal.VerifyChain(aPartition, [&](Journal::VerifyReply aReply) {
    reply = std::move(aReply);
  });
  aLoop.RunUntil([&] { return reply.has_value(); }, kPartitionTimeout);
  if (!reply || (!reply->isOk_ && !reply->report_.brokenAt_)) {
    throw UserError("verify journal",
                    "",
                    "The rows of " + PartitionName(aPartition) +
                      " can't be read from the table and the object store.");
  }
  return reply->report_;
}

} // namespace

int
VerifyJournal(const CtlOptions& aOptions, std::ostream& aOut)
{
  SystemClock clock;
  EventLoop loop(clock);
  HttpClient client(loop);
  DynamoTable table(
    client, MakeStoreOptions(aOptions.table_.front(), aOptions.tableName_));
  S3ObjectStore objects(
    client, MakeStoreOptions(aOptions.objectStore_.front(), aOptions.bucket_));
  Journal journal(table, objects);
  std::uint64_t rows = 0;
  bool isIntact = true;
  for (std::uint32_t number = 0; number < kPartitionsPerRegion; ++number) {
    const LedgerPartition partition{ RegionId(aOptions.region_),
                                     PartitionId(number) };
    const ChainReport report = VerifyPartition(loop, journal, partition);
    rows += report.rows_;
    aOut << PartitionName(partition) << ": ";
    if (report.brokenAt_) {
      isIntact = false;
      aOut << "broken at row " << report.brokenAt_->Value() << ": "
           << report.reason_ << "\n";
    } else {
      aOut << "whole, " << report.rows_ << " rows\n";
    }
  }
  if (isIntact && rows == 0) {
    throw UserError("verify journal",
                    "",
                    "The ledger of region \"" + aOptions.region_ +
                      "\" has no rows; check --region and --bucket.");
  }
  return isIntact ? 0 : 1;
}

} // namespace sycamoreward
