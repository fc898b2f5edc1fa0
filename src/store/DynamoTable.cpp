#include "store/DynamoTable.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

Json
KeyJson(const RowKey& aKey)
{
  return { { "pk", { { "S", aKey.partition_ } } },
           { "sk", { { "S", aKey.sort_ } } } };
}

void
AddCondition(Json& aAction, const RowWrite& aWrite)
{
  if (aWrite.condition_ == RowCondition::Absent) {
    aAction["ConditionExpression"] = "attribute_not_exists(pk)";
  } else if (aWrite.condition_ == RowCondition::ValueEquals) {
    aAction["ConditionExpression"] = "#n = :v";
    aAction["ExpressionAttributeNames"] = { { "#n", aWrite.conditionName_ } };
    aAction["ExpressionAttributeValues"] = {
      { ":v", { { "S", aWrite.conditionValue_ } } }
    };
  }
}

Json
WriteJson(const RowWrite& aWrite, const std::string& aTable)
{
  Json action = { { "TableName", aTable } };
  AddCondition(action, aWrite);
  Json item = KeyJson(aWrite.row_.key_);
  if (aWrite.operation_ != RowOperation::Put) {
    action["Key"] = item;
    return { { aWrite.operation_ == RowOperation::Delete ? "Delete"
                                                         : "ConditionCheck",
               action } };
  }
  for (const auto& value : aWrite.row_.values_) {
    item[value.first] = { { "S", value.second } };
  }
  action["Item"] = item;
  return { { "Put", action } };
}

Row
ParseRow(const Json& aItem)
{
  Row row;
  for (const auto& attribute : aItem.items()) {
    const std::string value = attribute.value().at("S").get<std::string>();
    if (attribute.key() == "pk") {
      row.key_.partition_ = value;
    } else if (attribute.key() == "sk") {
      row.key_.sort_ = value;
    } else {
      row.values_[attribute.key()] = value;
    }
  }
  return row;
}

ReadReply
ParseRows(const HttpClientReply& aReply, bool aIsQuery)
{
  ReadReply result;
  if (aReply.end_ != HttpEnd::Complete || aReply.status_ != 200) {
    return result;
  }
  try {
    const Json body = Json::parse(aReply.body_);
    if (aIsQuery) {
      for (const Json& item : body.at("Items")) {
        result.rows_.push_back(ParseRow(item));
      }
    } else if (body.contains("Item")) {
      result.rows_.push_back(ParseRow(body.at("Item")));
    }
    result.isOk_ = true;
  } catch (const Json::exception&) {
    return {};
  }
  return result;
}

bool
EndsWith(const std::string& aText, const std::string& aEnd)
{
  return aText.size() >= aEnd.size() &&
         aText.compare(aText.size() - aEnd.size(), aEnd.size(), aEnd) == 0;
}

// A transaction can be cancelled for reasons other than a failed condition,
// such as a conflict with a concurrent transaction. In no case was anything
// written.
WriteResult
ClassifyCancellation(const Json& aBody)
{
  for (const Json& reason : aBody.value("CancellationReasons", Json::array())) {
    if (reason.value("Code", "") == "ConditionalCheckFailed") {
      return WriteResult::ConditionFailed;
    }
  }
  return WriteResult::Refused;
}

} // namespace

WriteResult
ClassifyWriteReply(const HttpClientReply& aReply)
{
  if (aReply.end_ == HttpEnd::NotConnected) {
    return WriteResult::Refused;
  }
  if (aReply.end_ != HttpEnd::Complete) {
    return WriteResult::Unknown;
  }
  const Json body = Json::parse(aReply.body_, nullptr, false);
  if (!body.is_object()) {
    return WriteResult::Unknown;
  }
  if (aReply.status_ == 200) {
    return WriteResult::Committed;
  }
  if (aReply.status_ != 400 || !body.contains("__type") ||
      !body["__type"].is_string()) {
    return WriteResult::Unknown;
  }
  const std::string type = body["__type"].get<std::string>();
  if (EndsWith(type, "#TransactionCanceledException")) {
    return ClassifyCancellation(body);
  }
  for (const char* refusal : { "#ProvisionedThroughputExceededException",
                               "#ThrottlingException",
                               "#ValidationException" }) {
    if (EndsWith(type, refusal)) {
      return WriteResult::Refused;
    }
  }
  return WriteResult::Unknown;
}

DynamoTable::DynamoTable(HttpClient& aClient, StoreOptions aOptions)
  : client_(aClient)
  , options_(std::move(aOptions))
{
}

void
DynamoTable::Call(const std::string& aOperation,
                  const std::string& aBody,
                  std::function<void(HttpClientReply)> aOnReply)
{
  HttpClientRequest request;
  request.address_ = options_.address_;
  request.method_ = HttpMethod::Post;
  request.headers_ = { { "Content-Type", "application/x-amz-json-1.0" },
                       { "X-Amz-Target", "DynamoDB_20120810." + aOperation } };
  request.body_ = aBody;
  request.connectTimeout_ = options_.timeout_;
  request.silenceTimeout_ = options_.timeout_;
  client_.Fetch(request, std::move(aOnReply));
}

void
DynamoTable::Write(const std::vector<RowWrite>& aWrites,
                   const std::string& aWriteToken,
                   std::function<void(WriteResult)> aOnResult)
{
  Json items = Json::array();
  for (const RowWrite& write : aWrites) {
    items.push_back(WriteJson(write, options_.name_));
  }
  const Json body = { { "ClientRequestToken", aWriteToken },
                      { "TransactItems", items } };
  Call("TransactWriteItems",
       body.dump(),
       [aOnResult = std::move(aOnResult)](HttpClientReply aReply) {
         aOnResult(ClassifyWriteReply(aReply));
       });
}

void
DynamoTable::Read(const RowKey& aKey, std::function<void(ReadReply)> aOnReply)
{
  const Json body = { { "TableName", options_.name_ },
                      { "ConsistentRead", true },
                      { "Key", KeyJson(aKey) } };
  Call("GetItem",
       body.dump(),
       [aOnReply = std::move(aOnReply)](HttpClientReply aReply) {
         aOnReply(ParseRows(aReply, false));
       });
}

void
DynamoTable::Query(const std::string& aPartition,
                   const std::string& aFromSort,
                   unsigned aLimit,
                   std::function<void(ReadReply)> aOnReply)
{
  const Json body = { { "TableName", options_.name_ },
                      { "ConsistentRead", true },
                      { "KeyConditionExpression", "pk = :p AND sk >= :s" },
                      { "ExpressionAttributeValues",
                        { { ":p", { { "S", aPartition } } },
                          { ":s", { { "S", aFromSort } } } } },
                      { "Limit", aLimit } };
  Call("Query",
       body.dump(),
       [aOnReply = std::move(aOnReply)](HttpClientReply aReply) {
         aOnReply(ParseRows(aReply, true));
       });
}

} // namespace sycamoreward
