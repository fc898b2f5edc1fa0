#pragma once

// The forms in which an answer is written to a caller: OpenAI-style chunks, one
// OpenAI-style object, or the plain body.

#include "base/Clock.h"
#include "base/Units.h"

#include <string>

namespace sycamoreward {

enum class ReplyKind
{
  // Status, content type and body as they are.
  Raw,
  // One JSON object.
  Object,
  // Server-sent events that end in [DONE].
  Stream
};

struct ReplyForm
{
  ReplyKind kind_ = ReplyKind::Raw;
  // Sent as Idempotency-Key when it is not empty.
  std::string generatedKey_;
  bool isChat_ = false;
  std::string model_;
  Tokens promptTokens_;
  WallTime created_{};
};

// Writes the chunks of one answer. The text around the tokens is made once.
class ChunkWriter
{
public:
  ChunkWriter(const ReplyForm& aForm, const std::string& aId);

  // Appends the event of one token to aOut.
  void AppendToken(std::string& aOut, const std::string& aToken) const;

  // Appends the event with the finish reason, and the end mark.
  void AppendEnd(std::string& aOut, const std::string& aFinishReason) const;

private:
  std::string head_;
  std::string tail_;
  std::string emptyDelta_;
};

// The whole answer as one object.
std::string
WriteObject(const ReplyForm& aForm,
            const std::string& aId,
            const std::string& aText,
            const std::string& aFinishReason,
            Tokens aTokens);

} // namespace sycamoreward
