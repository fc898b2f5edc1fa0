#include "recovery/AnswerAssembler.h"

namespace sycamoreward {

PartVerdict
AnswerAssembler::Accept(AttemptNumber aAttempt,
                        PartIndex aIndex,
                        const std::string& aText)
{
  if (aAttempt != current_ || isComplete_) {
    return PartVerdict::Stale;
  }
  if (aIndex < Next()) {
    return PartVerdict::Repeated;
  }
  if (aIndex > Next()) {
    return PartVerdict::Gap;
  }
  parts_.push_back(aText);
  return PartVerdict::Accepted;
}

PartVerdict
AnswerAssembler::End(AttemptNumber aAttempt, PartIndex aCount)
{
  if (aAttempt != current_ || isComplete_) {
    return PartVerdict::Stale;
  }
  if (aCount != Next()) {
    return aCount > Next() ? PartVerdict::Gap : PartVerdict::Repeated;
  }
  isComplete_ = true;
  return PartVerdict::Accepted;
}

} // namespace sycamoreward
