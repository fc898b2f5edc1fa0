#pragma once

// Formats for writing an answer to a caller: OpenAI-style chunks, one
// OpenAI-style object, or the raw body.

#include "base/Clock.h"
#include "base/Units.h"

#include <string>

namespace sycamoreward {

enum class ReplyKind
{
  // Status, content type and body as the backend server sent them.
  Raw,
  // One JSON object.
  Object,
  // Server-sent events terminated by [DONE].
  Stream
};

// What is needed besides the answer itself to write a reply.
struct ReplyForm
{
  ReplyKind kind_ = ReplyKind::Raw;
  // Sent as Idempotency-Key unless empty.
  std::string generatedKey_;
  bool isChat_ = false;
  std::string model_;
  Tokens promptTokens_;
  WallTime created_{};
};

// Writes the chunks of one answer. The JSON around the tokens is built once.
class ChunkWriter
{
public:
  ChunkWriter(const ReplyForm& aForm, const std::string& aId);

  // Appends the event of one token to aOut.
  void AppendToken(std::string& aOut, const std::string& aToken) const;

  // Appends the event with the finish reason, and the [DONE] event.
  void AppendEnd(std::string& aOut, const std::string& aFinishReason) const;

private:
  std::string head_;
  std::string tail_;
  std::string emptyDelta_;
};

// Returns the complete answer as one JSON object.
std::string
WriteObject(const ReplyForm& aForm,
            const std::string& aId,
            const std::string& aText,
            const std::string& aFinishReason,
            Tokens aTokens);

} // namespace sycamoreward
