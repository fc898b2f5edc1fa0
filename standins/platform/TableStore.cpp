#include "platform/TableStore.h"

#include "base/Error.h"

namespace sycamoreward::platform {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxItems = 100;
// A reply to Query ends after this much, as that of DynamoDB does.
constexpr std::size_t kMaxPageBytes = 1024 * 1024;

std::string
Text(const Json& aAttributes, const std::string& aName)
{
  return aAttributes.at(aName).at("S").get<std::string>();
}

struct Action
{
  std::string kind_;
  Json body_;
};

Action
ReadAction(const Json& aItem)
{
  for (const char* kind : { "Put", "Delete", "ConditionCheck" }) {
    if (aItem.contains(kind)) {
      return { kind, aItem.at(kind) };
    }
  }
  throw UserError(
    "transact", "", "The item " + aItem.dump() + " has no action.");
}

} // namespace

TableReply
TableError(const std::string& aType, const std::string& aMessage)
{
  return { 400,
           { { "__type", "com.amazonaws.dynamodb.v20120810#" + aType },
             { "message", aMessage } } };
}

bool
TableStore::IsMet(const Json& aAction, const Key& aKey) const
{
  const std::string condition = aAction.value("ConditionExpression", "");
  const auto found = items_.find(aKey);
  if (condition.empty()) {
    return true;
  }
  if (condition == "attribute_not_exists(pk)") {
    return found == items_.end();
  }
  if (condition == "#n = :v") {
    const std::string name =
      aAction.at("ExpressionAttributeNames").at("#n").get<std::string>();
    return found != items_.end() && found->second.contains(name) &&
           found->second.at(name) ==
             aAction.at("ExpressionAttributeValues").at(":v");
  }
  throw UserError(
    "transact", "", "The condition \"" + condition + "\" is not supported.");
}

TableReply
TableStore::TransactWriteItems(const Json& aRequest)
{
  const Json& items = aRequest.at("TransactItems");
  if (items.empty() || items.size() > kMaxItems) {
    return TableError("ValidationException", "1 to 100 items are allowed.");
  }
  const std::string token = aRequest.value("ClientRequestToken", "");
  if (token.size() > 36) {
    return TableError("ValidationException", "The token is too long.");
  }
  const auto seen = seenTokens_.find(token);
  if (!token.empty() && seen != seenTokens_.end()) {
    return seen->second == items.dump()
             ? TableReply{}
             : TableError("IdempotentParameterMismatchException",
                          "The token was used with other items.");
  }
  Json reasons = Json::array();
  bool isMet = true;
  for (const Json& item : items) {
    const Action action = ReadAction(item);
    const Json& names = action.body_.at(action.kind_ == "Put" ? "Item" : "Key");
    const bool holds =
      IsMet(action.body_, { Text(names, "pk"), Text(names, "sk") });
    reasons.push_back(
      { { "Code", holds ? "None" : "ConditionalCheckFailed" } });
    isMet = isMet && holds;
  }
  if (!isMet) {
    TableReply reply =
      TableError("TransactionCanceledException", "A condition was not met.");
    reply.body_["CancellationReasons"] = reasons;
    return reply;
  }
  for (const Json& item : items) {
    const Action action = ReadAction(item);
    if (action.kind_ == "Put") {
      const Json& row = action.body_.at("Item");
      items_[{ Text(row, "pk"), Text(row, "sk") }] = row;
    } else if (action.kind_ == "Delete") {
      const Json& key = action.body_.at("Key");
      items_.erase({ Text(key, "pk"), Text(key, "sk") });
    }
  }
  if (!token.empty()) {
    seenTokens_[token] = items.dump();
  }
  return {};
}

TableReply
TableStore::GetItem(const Json& aRequest) const
{
  const Json& key = aRequest.at("Key");
  const auto found = items_.find({ Text(key, "pk"), Text(key, "sk") });
  TableReply reply;
  if (found != items_.end()) {
    reply.body_["Item"] = found->second;
  }
  return reply;
}

TableReply
TableStore::Query(const Json& aRequest) const
{
  const Json& values = aRequest.at("ExpressionAttributeValues");
  if (aRequest.value("KeyConditionExpression", "") != "pk = :p AND sk >= :s") {
    return TableError("ValidationException",
                      "Only \"pk = :p AND sk >= :s\" is supported.");
  }
  const std::string partition = Text(values, ":p");
  const std::size_t limit = aRequest.value("Limit", std::size_t{ 1000 });
  TableReply reply;
  std::size_t bytes = 0;
  Json& rows = reply.body_["Items"] = Json::array();
  for (auto row = items_.lower_bound({ partition, Text(values, ":s") });
       row != items_.end() && row->first.first == partition &&
       rows.size() < limit && bytes < kMaxPageBytes;
       ++row) {
    bytes += row->second.dump().size();
    rows.push_back(row->second);
  }
  reply.body_["Count"] = rows.size();
  return reply;
}

} // namespace sycamoreward::platform
