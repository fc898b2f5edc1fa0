#include "requests/ModelCall.h"

#include "base/BoundedJson.h"
#include "requests/CallerError.h"
#include "requests/EventScanner.h"

namespace sycamoreward {

namespace {

using nlohmann::json;

constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kMaxBlocks = 256;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
// Tokens of the models in use are about 4 bytes of text long.
constexpr std::uint64_t kBytesPerToken = 4;
// Maximum number of bytes of an invalid value that an error message quotes.
constexpr std::size_t kMaxQuotedBytes = 100;

[[noreturn]] void
Refuse(const std::string& aMessage)
{
  CallerError error;
  error.status_ = 400;
  error.code_ = "invalid_request";
  error.step_ = "accept";
  error.message_ = aMessage;
  throw RequestRefused(error);
}

std::string
// Returns the text of a message's "content", which is a string or a list of
// parts.
ContentText(const json& aContent)
{
  if (aContent.is_string()) {
    return aContent.get<std::string>();
  }
  std::string text;
  if (aContent.is_array()) {
    for (const json& part : aContent) {
      if (part.is_object() && part.contains("text") &&
          part["text"].is_string()) {
        text += part["text"].get<std::string>();
      }
    }
  }
  return text;
}

std::string
MessagesText(const json& aBody)
{
  if (!aBody.contains("messages") || !aBody["messages"].is_array() ||
      aBody["messages"].empty()) {
    Refuse("The field \"messages\" must be a list with at least one message.");
  }
  std::string text;
  for (const json& message : aBody["messages"]) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      Refuse("Each entry of \"messages\" must be an object with a \"role\".");
    }
    text += message["role"].get<std::string>() + ": ";
    if (message.contains("content")) {
      text += ContentText(message["content"]);
    }
    text += '\n';
  }
  return text;
}

bool
ReadFlag(const json& aBody, const char* aField)
{
  if (!aBody.contains(aField) || aBody[aField].is_null()) {
    return false;
  }
  if (!aBody[aField].is_boolean()) {
    Refuse("The field \"" + std::string(aField) + "\" is " +
           aBody[aField].dump().substr(0, kMaxQuotedBytes) +
           "; it must be true or false.");
  }
  return aBody[aField].get<bool>();
}

std::uint64_t
ReadCount(const json& aBody, const char* aField)
{
  if (!aBody.contains(aField) || aBody[aField].is_null()) {
    return 0;
  }
  if (!aBody[aField].is_number_unsigned()) {
    Refuse("The field \"" + std::string(aField) + "\" is " +
           aBody[aField].dump().substr(0, kMaxQuotedBytes) +
           "; it must be a whole number.");
  }
  return aBody[aField].get<std::uint64_t>();
}

// Returns the text field of an event's choice, or null when there is none.
const json*
FindText(const json& aChoice)
{
  const auto text = aChoice.find("text");
  if (text != aChoice.end()) {
    return &*text;
  }
  const auto delta = aChoice.find("delta");
  if (delta == aChoice.end() || !delta->is_object()) {
    return nullptr;
  }
  const auto content = delta->find("content");
  return content != delta->end() ? &*content : nullptr;
}

} // namespace

ModelCall
ParseModelCall(bool aIsChat, const std::string& aBody)
{
  ModelCall call;
  call.isChat_ = aIsChat;
  call.body_ = ParseStrictJson(aBody, &call.values_);
  if (!call.body_.is_object()) {
    Refuse("The request body is not a JSON object, is nested too deeply, has a "
           "key twice or has more than " +
           std::to_string(kMaxJsonValues) + " values.");
  }
  const json& body = call.body_;
  if (!body.contains("model") || !body["model"].is_string()) {
    Refuse("The field \"model\" must name a service.");
  }
  call.service_ = ServiceName(body["model"].get<std::string>());
  call.isStream_ = ReadFlag(body, "stream");
  call.maxTokens_ = Tokens(ReadCount(body, "max_tokens"));
  if (ReadCount(body, "n") > 1) {
    Refuse("The field \"n\" is " + body["n"].dump().substr(0, kMaxQuotedBytes) +
           "; only one choice can be served.");
  }
  if (aIsChat) {
    call.prompt_ = MessagesText(body);
  } else if (body.contains("prompt") && body["prompt"].is_string()) {
    call.prompt_ = body["prompt"].get<std::string>();
  } else {
    Refuse("The field \"prompt\" must be a string.");
  }
  return call;
}

Tokens
EstimateTokens(const std::string& aPrompt)
{
  return Tokens((aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken);
}

std::vector<std::uint64_t>
PrefixHashes(const std::string& aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = kFnvOffset;
  for (std::size_t at = 0;
       at + kBlockBytes <= aPrompt.size() && hashes.size() < kMaxBlocks;
       at += kBlockBytes) {
    for (std::size_t offset = 0; offset < kBlockBytes; ++offset) {
      hash =
        (hash ^ static_cast<unsigned char>(aPrompt[at + offset])) * kFnvPrime;
    }
    hashes.push_back(hash);
  }
  return hashes;
}

std::string
EngineBody(const ModelCall& aCall,
           const Service& aService,
           const RequestId& aRequest,
           AttemptNumber aAttempt,
           const std::vector<std::string>& aDelivered)
{
  json body = aCall.body_;
  body.erase("stream_options");
  body["model"] = aService.model_;
  body["stream"] = true;
  body["priority"] = aService.class_.priority_;
  body["request_id"] = aRequest.Value();
  body["attempt"] = aAttempt.Value();
  body["resume_tokens"] = aDelivered;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<EngineEvent>
ParseEngineEvent(const std::string& aData)
{
  EngineEvent event;
  if (aData == "[DONE]") {
    event.isDone_ = true;
    return event;
  }
  if (auto scanned = ScanEngineEvent(aData)) {
    return scanned;
  }
  const json body = ParseBoundedJson(aData);
  if (!body.is_object() || !body.contains("attempt") ||
      !body["attempt"].is_number_unsigned() || !body.contains("index") ||
      !body["index"].is_number_unsigned() || !body.contains("choices") ||
      !body["choices"].is_array() || body["choices"].size() != 1 ||
      !body["choices"][0].is_object()) {
    return std::nullopt;
  }
  event.attempt_ = AttemptNumber(body["attempt"].get<std::uint32_t>());
  event.index_ = PartIndex(body["index"].get<std::uint64_t>());
  const json& choice = body["choices"][0];
  const json* text = FindText(choice);
  if (text != nullptr && text->is_string()) {
    event.text_ = text->get<std::string>();
  }
  const auto finish = choice.find("finish_reason");
  if (finish != choice.end() && finish->is_string()) {
    event.finishReason_ = finish->get<std::string>();
  }
  return event;
}

} // namespace sycamoreward
