#include "requests/ReplyForm.h"

#include "requests/EventScanner.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

using nlohmann::json;

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
Frame(const ReplyForm& aForm, const std::string& aId, const char* aObject)
{
  const auto created = std::chrono::duration_cast<std::chrono::seconds>(
    aForm.created_.time_since_epoch());
  return { { "id", aId },
           { "object", aObject },
           { "created", created.count() },
           { "model", aForm.model_ } };
}

} // namespace

ChunkWriter::ChunkWriter(const ReplyForm& aForm, const std::string& aId)
{
  std::string frame = Dump(Frame(
    aForm, aId, aForm.isChat_ ? "chat.completion.chunk" : "text_completion"));
  frame.pop_back();
  head_ = "data: " + frame + R"(,"choices":[{"index":0,)";
  head_ += aForm.isChat_ ? R"("delta":{"content":)" : R"("text":)";
  const std::string close = aForm.isChat_ ? "}" : "";
  tail_ = close + R"(,"finish_reason":null}]})" + "\n\n";
  emptyDelta_ = "data: " + frame + R"(,"choices":[{"index":0,)" +
                (aForm.isChat_ ? R"("delta":{})" : R"("text":"")");
}

void
ChunkWriter::AppendToken(std::string& aOut, const std::string& aToken) const
{
  aOut += head_;
  if (!AppendJsonString(aOut, aToken)) {
    aOut += Dump(json(aToken));
  }
  aOut += tail_;
}

void
ChunkWriter::AppendEnd(std::string& aOut,
                       const std::string& aFinishReason) const
{
  aOut += emptyDelta_;
  aOut += R"(,"finish_reason":)";
  aOut += Dump(json(aFinishReason));
  aOut += "}]}\n\ndata: [DONE]\n\n";
}

std::string
WriteObject(const ReplyForm& aForm,
            const std::string& aId,
            const std::string& aText,
            const std::string& aFinishReason,
            Tokens aTokens)
{
  json choice{ { "index", 0 }, { "finish_reason", aFinishReason } };
  if (aForm.isChat_) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  json body =
    Frame(aForm, aId, aForm.isChat_ ? "chat.completion" : "text_completion");
  body["choices"] = json::array({ choice });
  const std::uint64_t prompt = aForm.promptTokens_.Value();
  body["usage"] = { { "prompt_tokens", prompt },
                    { "completion_tokens", aTokens.Value() },
                    { "total_tokens", prompt + aTokens.Value() } };
  return Dump(body);
}

} // namespace sycamoreward
