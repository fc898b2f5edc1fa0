#include "verify/History.h"

#include <set>

namespace sycamoreward {

namespace {

constexpr int kFirstErrorStatus = 400;

bool
IsSuccess(const CallerReply& aReply)
{
  return aReply.isComplete_ && aReply.status_ > 0 &&
         aReply.status_ < kFirstErrorStatus;
}

bool
IsError(const CallerReply& aReply)
{
  return aReply.isComplete_ && aReply.status_ >= kFirstErrorStatus;
}

unsigned
RunCountOf(const RunCounts& aRuns, const RequestId& aRequest)
{
  const auto found = aRuns.find(aRequest);
  return found == aRuns.end() ? 0 : found->second;
}

class Checker
{
public:
  explicit Checker(const History& aHistory)
    : history_(aHistory)
  {
  }

  std::vector<Finding> Run()
  {
    for (const CallerHistory& caller : history_.callers_) {
      CheckEnd(caller);
      CheckAnswers(caller);
      CheckNotRun(caller);
      CheckRuns(caller);
      CheckRecorded(caller);
    }
    CheckSharedRecords();
    CheckLedger();
    return findings_;
  }

private:
  void Add(Violation aViolation,
           const std::string& aRequest,
           const std::string& aDetail)
  {
    findings_.push_back(Finding{ aViolation, aRequest, aDetail });
  }

  void CheckEnd(const CallerHistory& aCaller)
  {
    if (aCaller.replies_.empty() || !aCaller.replies_.back().isComplete_) {
      Add(Violation::Lost,
          aCaller.name_,
          "The caller received no complete reply.");
      return;
    }
    const CallerReply& last = aCaller.replies_.back();
    if (aCaller.deadline_.count() > 0 && last.elapsed_ > aCaller.deadline_) {
      Add(Violation::Late,
          aCaller.name_,
          "The last reply arrived after " +
            std::to_string(last.elapsed_.count()) + " us.");
    }
  }

  void CheckAnswers(const CallerHistory& aCaller)
  {
    if (aCaller.expectedAnswer_.empty()) {
      return;
    }
    for (const CallerReply& reply : aCaller.replies_) {
      const std::string& expected = aCaller.expectedAnswer_;
      const bool isPrefix =
        expected.compare(0, reply.answer_.size(), reply.answer_) == 0;
      if (IsSuccess(reply) && reply.answer_ != expected) {
        Add(isPrefix ? Violation::Cut : Violation::MixedUp,
            aCaller.name_,
            "The answer reported as complete differs from the expected one.");
      } else if (!IsError(reply) && !isPrefix) {
        Add(Violation::MixedUp,
            aCaller.name_,
            "The partial answer is not a prefix of the expected one.");
      }
    }
  }

  void CheckNotRun(const CallerHistory& aCaller)
  {
    for (const CallerReply& reply : aCaller.replies_) {
      if (IsError(reply) && reply.ran_ == RanReport::NotRun &&
          RunCountOf(history_.runs_, reply.request_) > 0) {
        Add(Violation::WronglyReported,
            aCaller.name_,
            "The reply says \"not run\", but the request ran.");
      }
    }
  }

  // A caller's request has one request id for each time that it was accepted.
  // All of them together may run at most once.
  void CheckRuns(const CallerHistory& aCaller)
  {
    if (aCaller.isRepeatable_) {
      return;
    }
    std::set<RequestId> ids;
    unsigned runs = 0;
    bool hasSuccess = false;
    for (const CallerReply& reply : aCaller.replies_) {
      hasSuccess = hasSuccess || IsSuccess(reply);
      if (ids.insert(reply.request_).second) {
        runs += RunCountOf(history_.runs_, reply.request_);
      }
    }
    if (runs > 1) {
      Add(Violation::Doubled,
          aCaller.name_,
          "The unrepeatable request ran " + std::to_string(runs) + " times.");
    }
    if (hasSuccess && runs == 0) {
      Add(Violation::WronglyReported,
          aCaller.name_,
          "The caller received an answer, but no server ran the request.");
    }
  }

  void CheckRecorded(const CallerHistory& aCaller)
  {
    if (aCaller.replies_.empty() || !IsSuccess(aCaller.replies_.back())) {
      return;
    }
    const RequestId& request = aCaller.replies_.back().request_;
    for (const Outcome& outcome : history_.ledger_) {
      if (outcome.request_ == request) {
        return;
      }
    }
    Add(Violation::WronglyReported,
        aCaller.name_,
        "The ledger has no record of request " + request.Value() + ".");
  }

  // Two unrepeatable requests whose answers can't be predicted, such as record
  // numbers, must not receive the same answer.
  void CheckSharedRecords()
  {
    std::map<std::string, std::string> owners;
    for (const CallerHistory& caller : history_.callers_) {
      if (caller.isRepeatable_ || !caller.expectedAnswer_.empty() ||
          caller.replies_.empty() || !IsSuccess(caller.replies_.back())) {
        continue;
      }
      const std::string& answer = caller.replies_.back().answer_;
      const auto [owner, isNew] = owners.emplace(answer, caller.name_);
      if (!isNew) {
        Add(Violation::Doubled,
            caller.name_,
            "The answer is the same as that of " + owner->second + ".");
      }
    }
  }

  void CheckLedger()
  {
    std::set<RequestId> seen;
    for (const Outcome& outcome : history_.ledger_) {
      const std::string id = outcome.request_.Value();
      if (!seen.insert(outcome.request_).second) {
        Add(Violation::WronglyReported, id, "The request has two records.");
      }
      const unsigned runs = RunCountOf(history_.runs_, outcome.request_);
      if (outcome.kind_ == OutcomeKind::NotRun && runs > 0) {
        Add(Violation::WronglyReported,
            id,
            "The record says \"not run\", but the request ran.");
      }
      if (outcome.kind_ == OutcomeKind::Completed && runs == 0) {
        Add(Violation::WronglyReported,
            id,
            "The record says \"completed\", but no server ran the request.");
      }
    }
  }

  const History& history_;
  std::vector<Finding> findings_;
};

} // namespace

const char*
ToString(Violation aViolation)
{
  switch (aViolation) {
    case Violation::Lost:
      return "lost";
    case Violation::Late:
      return "late";
    case Violation::Doubled:
      return "doubled";
    case Violation::MixedUp:
      return "mixed up";
    case Violation::Cut:
      return "cut";
    case Violation::WronglyReported:
      return "wrongly reported";
  }
  return "";
}

std::vector<Finding>
CheckHistory(const History& aHistory)
{
  return Checker(aHistory).Run();
}

} // namespace sycamoreward
