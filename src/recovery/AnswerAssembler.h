#pragma once

// Puts the parts of an answer together from the streams of several attempts.

#include "base/Ids.h"

#include <string>
#include <vector>

namespace sycamoreward {

// What became of a part.
enum class PartVerdict
{
  // The next part of the answer.
  Accepted,
  // Of an attempt that is not the current one, or after the end.
  Stale,
  // An index that the answer has already.
  Repeated,
  // An index past the next one: the current attempt has lost a part and can't
  // complete the answer.
  Gap
};

class AnswerAssembler
{
public:
  // Makes aAttempt the only one whose parts count from now on.
  void BeginAttempt(AttemptNumber aAttempt) { current_ = aAttempt; }

  // Takes a part if it is the next one of the current attempt.
  PartVerdict Accept(AttemptNumber aAttempt,
                     PartIndex aIndex,
                     const std::string& aText);

  // Takes the end mark of an attempt. aCount is the number of parts that the
  // whole answer has. The answer is whole only when all of them are here.
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
