#include "engine/Replies.h"

#include "base/Error.h"
#include "engine/Generate.h"

#include <nlohmann/json.hpp>

namespace sycamoreward::standin {

namespace {

using nlohmann::json;

const char*
FinishReason(const Run& aRun)
{
  return aRun.endToken_ < aRun.maxTokens_ ? "stop" : "length";
}

json
Usage(const Run& aRun)
{
  const std::uint64_t prompt = CountTokens(aRun.prompt_);
  return { { "prompt_tokens", prompt },
           { "completion_tokens", aRun.endToken_ },
           { "total_tokens", prompt + aRun.endToken_ } };
}

json
Chunk(const Run& aRun, const std::string& aText, const json& aFinish)
{
  json choice{ { "index", 0 }, { "finish_reason", aFinish } };
  if (aRun.isChat_) {
    choice["delta"] =
      aText.empty() ? json::object() : json{ { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  return { { "id", aRun.id_ },
           { "object",
             aRun.isChat_ ? "chat.completion.chunk" : "text_completion" },
           { "model", aRun.model_ },
           { "choices", json::array({ choice }) },
           { "attempt", aRun.attempt_ } };
}

std::string
Event(const json& aBody)
{
  return "data: " + aBody.dump() + "\n\n";
}

std::uint64_t
ReadCount(const json& aBody, const char* aField, std::uint64_t aDefault)
{
  if (!aBody.contains(aField) || aBody[aField].is_null()) {
    return aDefault;
  }
  if (!aBody[aField].is_number_unsigned()) {
    throw UserError("read",
                    "",
                    std::string("The field ") + aField + " is " +
                      aBody[aField].dump() + "; it must be a whole number.");
  }
  return aBody[aField].get<std::uint64_t>();
}

} // namespace

std::string
TokenEvent(const Run& aRun, const std::string& aToken, std::uint64_t aIndex)
{
  json body = Chunk(aRun, aToken, nullptr);
  body["index"] = aIndex;
  return Event(body);
}

std::string
FinalEvents(const Run& aRun)
{
  json body = Chunk(aRun, "", FinishReason(aRun));
  body["index"] = aRun.endToken_;
  body["usage"] = Usage(aRun);
  return Event(body) + "data: [DONE]\n\n";
}

std::string
CompleteReply(const Run& aRun)
{
  json choice{ { "index", 0 }, { "finish_reason", FinishReason(aRun) } };
  if (aRun.isChat_) {
    choice["message"] = { { "role", "assistant" }, { "content", aRun.text_ } };
  } else {
    choice["text"] = aRun.text_;
  }
  return json{
    { "id", aRun.id_ },
    { "object", aRun.isChat_ ? "chat.completion" : "text_completion" },
    { "model", aRun.model_ },
    { "choices", json::array({ choice }) },
    { "usage", Usage(aRun) },
    { "attempt", aRun.attempt_ }
  }.dump();
}

std::shared_ptr<Run>
ReadRun(const HttpServerRequest& aRequest)
{
  const json body = json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object()) {
    throw UserError("read", "", "The request body is not a JSON object.");
  }
  auto run = std::make_shared<Run>();
  run->isChat_ = aRequest.path_ == "/v1/chat/completions";
  run->prompt_ = PromptText(body);
  run->maxTokens_ = ReadCount(body, "max_tokens", kDefaultMaxTokens);
  run->endToken_ = AnswerLength(run->prompt_, run->maxTokens_);
  run->attempt_ = ReadCount(body, "attempt", 1);
  run->model_ = body.value("model", std::string());
  run->id_ = body.value("request_id", std::string());
  run->priority_ = body.value("priority", 0);
  run->isStream_ = body.value("stream", false);
  if (body.contains("resume_tokens") && body["resume_tokens"].is_array()) {
    run->resumedTokens_ = body["resume_tokens"].size();
    run->nextToken_ = run->resumedTokens_;
    for (const auto& token : body["resume_tokens"]) {
      run->text_ += token.is_string() ? token.get<std::string>() : "";
    }
  }
  return run;
}

json
ToJson(const EngineCounters& aCounters)
{
  json requests = json::object();
  for (const auto& [id, runs] : aCounters.requests_) {
    requests[id] = { { "attempts", runs.attempts_ },
                     { "runs", runs.attempts_.size() },
                     { "completed", runs.completed_ },
                     { "cancelled", runs.cancelled_ },
                     { "tokens", runs.tokens_ } };
  }
  return { { "requests", requests },
           { "tokensComputed", aCounters.tokensComputed_ },
           { "tokensPrefilled", aCounters.tokensPrefilled_ },
           { "tokensRecomputed", aCounters.tokensRecomputed_ },
           { "refused", aCounters.refused_ },
           { "lastAcceptedUs",
             aCounters.lastAccepted_.time_since_epoch().count() },
           { "staleOrdersApplied", aCounters.staleOrdersApplied_ },
           { "staleOrdersRefused", aCounters.staleOrdersRefused_ } };
}

} // namespace sycamoreward::standin
