// The history checker finds each kind of violation in a history that contains
// it, and none in a correct history.

#include "verify/History.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

const RequestId kFirst("r.0.1");
const RequestId kSecond("r.0.2");

CallerReply
Success(const RequestId& aRequest, const std::string& aAnswer)
{
  CallerReply reply;
  reply.request_ = aRequest;
  reply.status_ = 200;
  reply.isComplete_ = true;
  reply.answer_ = aAnswer;
  return reply;
}

CallerReply
Refusal(const RequestId& aRequest)
{
  CallerReply reply;
  reply.request_ = aRequest;
  reply.status_ = 503;
  reply.isComplete_ = true;
  reply.ran_ = RanReport::NotRun;
  return reply;
}

Outcome
Completed(const RequestId& aRequest)
{
  Outcome outcome;
  outcome.request_ = aRequest;
  return outcome;
}

// A completed repeatable request and a completed unrepeatable one.
History
GoodHistory()
{
  History history;
  CallerHistory query;
  query.name_ = "query";
  query.expectedAnswer_ = "a b c";
  query.deadline_ = std::chrono::seconds(1);
  query.replies_ = { Success(kFirst, "a b c") };
  CallerHistory certificate;
  certificate.name_ = "certificate";
  certificate.isRepeatable_ = false;
  certificate.replies_ = { Success(kSecond, "number 1") };
  history.callers_ = { query, certificate };
  history.runs_ = { { kFirst, 1 }, { kSecond, 1 } };
  history.ledger_ = { Completed(kFirst), Completed(kSecond) };
  return history;
}

void
ExpectOnly(const History& aHistory, Violation aViolation)
{
  const auto findings = CheckHistory(aHistory);
  cr_assert_eq(findings.size(), 1U, "%zu findings", findings.size());
  cr_assert_eq(findings[0].violation_, aViolation);
}

} // namespace

Test(History, GoodHistoryHasNoFindings)
{
  cr_assert(CheckHistory(GoodHistory()).empty());
}

Test(History, BrokenConnectionFollowedByTheWholeAnswerIsAllowed)
{
  History history = GoodHistory();
  CallerReply broken = Success(kFirst, "a b");
  broken.isComplete_ = false;
  auto& replies = history.callers_[0].replies_;
  replies.insert(replies.begin(), broken);
  cr_assert(CheckHistory(history).empty());
}

Test(History, FindsLostRequest)
{
  History history = GoodHistory();
  history.callers_[0].replies_.clear();
  ExpectOnly(history, Violation::Lost);
}

Test(History, FindsLateAnswer)
{
  History history = GoodHistory();
  history.callers_[0].replies_[0].elapsed_ = std::chrono::seconds(2);
  ExpectOnly(history, Violation::Late);
}

Test(History, FindsDoubledRun)
{
  History history = GoodHistory();
  history.runs_[kSecond] = 2;
  ExpectOnly(history, Violation::Doubled);
}

Test(History, FindsRunsUnderTwoRequestIds)
{
  History history = GoodHistory();
  const RequestId other("r.0.3");
  CallerReply broken;
  broken.request_ = other;
  auto& replies = history.callers_[1].replies_;
  replies.insert(replies.begin(), broken);
  history.runs_[other] = 1;
  ExpectOnly(history, Violation::Doubled);
}

Test(History, FindsSharedRecord)
{
  History history = GoodHistory();
  CallerHistory copy = history.callers_[1];
  copy.name_ = "another certificate";
  history.callers_.push_back(copy);
  ExpectOnly(history, Violation::Doubled);
}

Test(History, FindsMixedUpAnswer)
{
  History history = GoodHistory();
  history.callers_[0].replies_[0].answer_ = "x y z";
  ExpectOnly(history, Violation::MixedUp);
}

Test(History, FindsMixedUpPart)
{
  History history = GoodHistory();
  CallerReply broken = Success(kFirst, "a x");
  broken.isComplete_ = false;
  auto& replies = history.callers_[0].replies_;
  replies.insert(replies.begin(), broken);
  ExpectOnly(history, Violation::MixedUp);
}

Test(History, FindsCutAnswer)
{
  History history = GoodHistory();
  history.callers_[0].replies_[0].answer_ = "a b";
  ExpectOnly(history, Violation::Cut);
}

Test(History, FindsNotRunReportOfExecutedRequest)
{
  History history = GoodHistory();
  history.callers_[1].replies_ = { Refusal(kSecond) };
  history.ledger_.pop_back();
  ExpectOnly(history, Violation::WronglyReported);
}

Test(History, FindsNotRunRecordOfExecutedRequest)
{
  History history = GoodHistory();
  history.ledger_[1].kind_ = OutcomeKind::NotRun;
  ExpectOnly(history, Violation::WronglyReported);
}

Test(History, FindsCompletedRecordOfARequestThatDidNotRun)
{
  History history = GoodHistory();
  history.runs_.erase(kFirst);
  ExpectOnly(history, Violation::WronglyReported);
}

Test(History, FindsMissingAndSecondRecord)
{
  History missing = GoodHistory();
  missing.ledger_.erase(missing.ledger_.begin());
  ExpectOnly(missing, Violation::WronglyReported);
  History second = GoodHistory();
  second.ledger_.push_back(second.ledger_[0]);
  ExpectOnly(second, Violation::WronglyReported);
}
