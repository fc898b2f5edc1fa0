#pragma once

// Client of the platform's table, which uses the JSON protocol of DynamoDB.

#include "base/Address.h"
#include "base/Clock.h"
#include "runtime/HttpClient.h"
#include "store/Table.h"

#include <string>

namespace sycamoreward {

// Options of the table client and of the object store client.
struct StoreOptions
{
  Address address_;
  // Name of the table or bucket.
  std::string name_ = "sycamoreward";
  // Timeout for connecting, and for each period without data of the reply.
  Duration timeout_ = std::chrono::seconds(2);
};

// Returns the result of a write from the reply to TransactWriteItems. A missing
// or incomplete reply, or one that does not follow the protocol, is Unknown. A
// failed connection is Refused because no byte was sent.
WriteResult
ClassifyWriteReply(const HttpClientReply& aReply);

// Table over TransactWriteItems, GetItem and Query. A write without a complete
// reply ends as Unknown, except when no connection was made, which is Refused
// because no byte was sent.
class DynamoTable final : public Table
{
public:
  DynamoTable(HttpClient& aClient, StoreOptions aOptions);

  void Write(const std::vector<RowWrite>& aWrites,
             const std::string& aWriteToken,
             std::function<void(WriteResult)> aOnResult) override;
  void Read(const RowKey& aKey,
            std::function<void(ReadReply)> aOnReply) override;
  void Query(const std::string& aPartition,
             const std::string& aFromSort,
             unsigned aLimit,
             std::function<void(ReadReply)> aOnReply) override;

private:
  void Call(const std::string& aOperation,
            const std::string& aBody,
            std::function<void(HttpClientReply)> aOnReply);

  HttpClient& client_;
  StoreOptions options_;
};

} // namespace sycamoreward
