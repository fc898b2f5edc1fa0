#pragma once

// In-memory implementation of the platform's transactional table. Implements
// the subset of DynamoDB's JSON protocol that sycamoreward uses.

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>

namespace sycamoreward::platform {

// Status and body of a reply to a table call.
struct TableReply
{
  int status_ = 200;
  nlohmann::json body_ = nlohmann::json::object();
};

// Returns an error reply in the format of the protocol.
TableReply
TableError(const std::string& aType, const std::string& aMessage);

class TableStore
{
public:
  TableReply TransactWriteItems(const nlohmann::json& aRequest);
  TableReply GetItem(const nlohmann::json& aRequest) const;
  TableReply Query(const nlohmann::json& aRequest) const;

private:
  using Key = std::pair<std::string, std::string>;

  bool IsMet(const nlohmann::json& aAction, const Key& aKey) const;

  std::map<Key, nlohmann::json> items_;
  // Requests by ClientRequestToken, so that repeated calls have no effect.
  std::map<std::string, std::string> seenTokens_;
};

} // namespace sycamoreward::platform
