#pragma once

// Assembles an answer from the parts that several attempts stream.

#include "base/Ids.h"

#include <string>
#include <vector>

namespace sycamoreward {

// Result of offering a part or an end mark.
enum class PartVerdict
{
  // The part is the next one of the answer and was taken.
  Accepted,
  // The part belongs to another attempt, or came after the answer was complete.
  Stale,
  // The answer already has a part with this index, or more parts than the end
  // mark states.
  Repeated,
  // The index is beyond the next one: the current attempt has lost a part and
  // can't complete the answer.
  Gap
};

// Accepts the parts of the current attempt in order, each index once.
class AnswerAssembler
{
public:
  // Makes aAttempt the current attempt. Parts of other attempts are stale from
  // now on.
  void BeginAttempt(AttemptNumber aAttempt) { current_ = aAttempt; }

  // Appends a part if it is the next one and belongs to the current attempt.
  PartVerdict Accept(AttemptNumber aAttempt,
                     PartIndex aIndex,
                     const std::string& aText);

  // Handles the end mark of an attempt. aCount is the number of parts of the
  // complete answer, which is complete only if all of them have been accepted.
  PartVerdict End(AttemptNumber aAttempt, PartIndex aCount);

  bool IsComplete() const { return isComplete_; }
  AttemptNumber Current() const { return current_; }
  PartIndex Next() const { return PartIndex(parts_.size()); }
  const std::vector<std::string>& Parts() const { return parts_; }

private:
  AttemptNumber current_;
  std::vector<std::string> parts_;
  bool isComplete_ = false;
};

} // namespace sycamoreward
