// Guards against answers that mix the tokens of several attempts, repeat or
// skip tokens, or are reported as complete too early.

#include "recovery/AnswerAssembler.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace sycamoreward;

namespace {

// An input to the assembler. Inputs may come in any order and number.
struct Step
{
  enum class Kind
  {
    BeginNext,
    Part,
    End
  };
  Kind kind_;
  unsigned attempt_;
  std::size_t index_;
};

std::string
TokenOf(unsigned aAttempt, std::size_t aIndex)
{
  return std::to_string(aAttempt) + ":" + std::to_string(aIndex);
}

rc::Gen<Step>
AnyStep(unsigned aAttempts, std::size_t aLength)
{
  return rc::gen::exec([=] {
    Step step;
    const int kind = *rc::gen::inRange(0, 20);
    step.kind_ = kind == 0   ? Step::Kind::BeginNext
                 : kind == 1 ? Step::Kind::End
                             : Step::Kind::Part;
    step.attempt_ = *rc::gen::inRange(1U, aAttempts + 1);
    step.index_ = *rc::gen::inRange<std::size_t>(0, aLength + 1);
    return step;
  });
}

} // namespace

// Parts of all attempts arrive interleaved, repeated, out of order and with
// losses. Each token names its attempt, so that a part of the wrong attempt is
// detected.
Test(AnswerAssembler, AnswersHoldEachTokenOnceFromTheCurrentAttempt)
{
  const bool isGood = rc::check([] {
    constexpr unsigned kAttempts = 3;
    const auto length = *rc::gen::inRange<std::size_t>(1, 8);
    const auto steps =
      *rc::gen::container<std::vector<Step>>(200, AnyStep(kAttempts, length));
    AnswerAssembler assembler;
    unsigned current = 1;
    assembler.BeginAttempt(AttemptNumber(current));
    std::vector<std::string> expected;
    bool isComplete = false;
    for (const Step& step : steps) {
      const AttemptNumber attempt(step.attempt_);
      const std::string token = TokenOf(step.attempt_, step.index_);
      if (step.kind_ == Step::Kind::BeginNext) {
        current = std::min(current + 1, kAttempts);
        assembler.BeginAttempt(AttemptNumber(current));
      } else if (step.kind_ == Step::Kind::End) {
        assembler.End(attempt, PartIndex(length));
        isComplete =
          isComplete || (step.attempt_ == current && expected.size() == length);
      } else if (step.index_ < length) {
        assembler.Accept(attempt, PartIndex(step.index_), token);
        if (step.attempt_ == current && step.index_ == expected.size() &&
            !isComplete) {
          expected.push_back(token);
        }
      }
      RC_ASSERT(assembler.Parts() == expected);
      RC_ASSERT(assembler.IsComplete() == isComplete);
    }
  });
  cr_assert(isGood);
}

Test(AnswerAssembler, ReportsGapsAndRepeats)
{
  AnswerAssembler assembler;
  const AttemptNumber first(1);
  assembler.BeginAttempt(first);
  cr_assert(assembler.Accept(first, PartIndex(0), "a") ==
            PartVerdict::Accepted);
  cr_assert(assembler.Accept(first, PartIndex(0), "a") ==
            PartVerdict::Repeated);
  cr_assert(assembler.Accept(first, PartIndex(2), "c") == PartVerdict::Gap);
  cr_assert(assembler.Accept(AttemptNumber(2), PartIndex(1), "b") ==
            PartVerdict::Stale);
  cr_assert(assembler.End(first, PartIndex(2)) == PartVerdict::Gap);
  cr_assert_not(assembler.IsComplete());
}
