#pragma once

// The platform's table through the JSON protocol of DynamoDB.

#include "base/Address.h"
#include "base/Clock.h"
#include "runtime/HttpClient.h"
#include "store/Table.h"

#include <string>

namespace sycamoreward {

struct StoreOptions
{
  Address address_;
  // Name of the table or of the bucket.
  std::string name_ = "sycamoreward";
  // Longest wait for a connection, and for a byte of the reply after it.
  Duration timeout_ = std::chrono::seconds(2);
};

// What a reply to TransactWriteItems says about the write. Any reply that is
// not one of the protocol's is Unknown, as is a missing or partial one.
WriteResult
ClassifyWriteReply(const HttpClientReply& aReply);

// A call without a complete reply ends as Unknown, except when no connection
// was made, which is Refused because no byte was sent.
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
