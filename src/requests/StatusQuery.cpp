#include "requests/StatusQuery.h"

#include "base/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace sycamoreward {

namespace {

using nlohmann::json;

constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
constexpr Duration kQueryTimeout = std::chrono::seconds(1);

struct Query
{
  RequestContext& context_;
  Address server_;
  std::string target_;
  std::function<void(StatusAnswer)> onAnswer_;
  unsigned queryCount_ = 0;
  unsigned failureCount_ = 0;
  unsigned notRunCount_ = 0;
  Duration backoff_ = kInitialBackoff;
};

void
SendQuery(const std::shared_ptr<Query>& aQuery);

void
ScheduleQuery(const std::shared_ptr<Query>& aQuery)
{
  if (aQuery->failureCount_ >= kMaxStatusFailures ||
      aQuery->queryCount_ >= kMaxStatusQueries) {
    aQuery->onAnswer_(StatusAnswer{});
    return;
  }
  aQuery->context_.loop_.CallAfter(aQuery->backoff_,
                                   [aQuery] { SendQuery(aQuery); });
  aQuery->backoff_ = std::min(2 * aQuery->backoff_, kMaxBackoff);
}

void
HandleReply(const std::shared_ptr<Query>& aQuery, const HttpClientReply& aReply)
{
  const auto answer = ReadStatus(aReply);
  if (answer && answer->ran_ == Ran::Ran) {
    aQuery->onAnswer_(*answer);
    return;
  }
  if (answer && answer->ran_ == Ran::NotRun) {
    if (++aQuery->notRunCount_ == kNotRunConfirmations) {
      aQuery->onAnswer_(*answer);
      return;
    }
  } else {
    aQuery->notRunCount_ = 0;
    aQuery->failureCount_ += answer ? 1 : 0;
  }
  ScheduleQuery(aQuery);
}

void
SendQuery(const std::shared_ptr<Query>& aQuery)
{
  ++aQuery->queryCount_;
  HttpClientRequest request;
  request.address_ = aQuery->server_;
  request.target_ = aQuery->target_;
  request.connectTimeout_ = kQueryTimeout;
  request.silenceTimeout_ = kQueryTimeout;
  request.mayReuseConnection_ = false;
  aQuery->context_.client_.Fetch(
    request,
    [aQuery](const HttpClientReply& aReply) { HandleReply(aQuery, aReply); });
}

std::optional<KeptAnswer>
ReadStoredReply(const json& aBody)
{
  const auto reply = aBody.find("reply");
  if (reply == aBody.end() || !reply->is_string()) {
    return std::nullopt;
  }
  KeptAnswer answer;
  answer.status_ = 200;
  answer.contentType_ = "application/json";
  answer.body_ = reply->get<std::string>();
  const auto status = aBody.find("status");
  if (status != aBody.end() && status->is_number_integer()) {
    answer.status_ = status->get<int>();
  }
  const auto type = aBody.find("contentType");
  if (type != aBody.end() && type->is_string()) {
    answer.contentType_ = type->get<std::string>();
  }
  return answer;
}

} // namespace

std::optional<StatusAnswer>
ReadStatus(const HttpClientReply& aReply)
{
  StatusAnswer answer;
  if (aReply.end_ != HttpEnd::Complete || aReply.status_ != 200) {
    return answer;
  }
  const json body = ParseBoundedJson(aReply.body_);
  if (!body.is_object()) {
    return answer;
  }
  const auto ran = body.find("ran");
  const bool hasRan = ran != body.end() && ran->is_boolean();
  if (hasRan && ran->get<bool>()) {
    answer.ran_ = Ran::Ran;
    answer.reply_ = ReadStoredReply(body);
    return answer;
  }
  const auto running = body.find("running");
  if (running != body.end() && running->is_boolean() && running->get<bool>()) {
    return std::nullopt;
  }
  if (hasRan) {
    answer.ran_ = Ran::NotRun;
  }
  return answer;
}

std::string
StatusTarget(const std::string& aStatusPath, const RequestId& aRequest)
{
  static const std::string kPlaceholder = "{id}";
  std::string target = aStatusPath;
  const std::size_t at = target.find(kPlaceholder);
  if (at != std::string::npos) {
    target.replace(at, kPlaceholder.size(), aRequest.Value());
  }
  return target;
}

void
QueryWhetherRan(RequestContext& aContext,
                const Address& aServer,
                const std::string& aTarget,
                std::function<void(StatusAnswer)> aOnAnswer)
{
  SendQuery(std::make_shared<Query>(
    Query{ aContext, aServer, aTarget, std::move(aOnAnswer) }));
}

} // namespace sycamoreward
