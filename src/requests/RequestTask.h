#pragma once

// Runs one request through its steps: accept, claim, choose, dispatch, stream,
// record, reply.

#include "peer/Messages.h"
#include "recovery/AnswerAssembler.h"
#include "recovery/Handover.h"
#include "requests/AcceptedRequest.h"
#include "requests/AnswerLog.h"
#include "requests/Attempt.h"
#include "requests/RequestContext.h"
#include "requests/StatusQuery.h"
#include "retries/Failure.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sycamoreward {

// Owns the state, attempts and timers of one request.
class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
  // Timeouts for the ledger's reply to a claim.
  static constexpr Duration kClaimTimeout = std::chrono::seconds(2);
  static constexpr Duration kRepeatableClaimTimeout =
    std::chrono::milliseconds(100);
  // Maximum number of servers that a claim names.
  static constexpr std::size_t kMaxClaimedServers = 16;
  // Maximum number of tries to take over the claim of a request whose call was
  // sent. Each try takes up to kClaimTimeout.
  static constexpr unsigned kMaxClaimTakeOvers = 15;
  // Maximum size of a model service's answer, in bytes and in tokens.
  static constexpr std::uint64_t kMaxAnswerBytes = 4 * 1024 * 1024;
  static constexpr std::size_t kMaxAnswerTokens = 1024 * 1024;

  struct Hooks
  {
    // Called when the task has ended: its outcome is recorded, or the request
    // continues on another instance.
    std::function<void()> onEnded_;
    // Called when the key belongs to another request. The task has ended
    // without an outcome, and its log is still open for the other request's
    // answer.
    std::function<void(RegisterReply)> onClaimConflict_;
  };

  RequestTask(RequestContext& aContext,
              AcceptedRequest aRequest,
              std::shared_ptr<AnswerLog> aLog,
              Hooks aHooks);

  // Starts the request by claiming its key.
  void Start();

  // Starts a repeatable request whose earlier answer is no longer stored. The
  // claim on the key stays with the earlier request.
  void StartWithoutClaim();

  // Continues a request that another instance has handed over.
  void Adopt(const HandOver& aMessage);

  const AcceptedRequest& Request() const { return request_; }
  const std::shared_ptr<AnswerLog>& Log() const { return log_; }

  // Handover. Candidate describes the request for planning. Suspend pauses the
  // request and returns its handover message; Resume continues it after a
  // failed handover; EndWithoutOutcome ends it here, records nothing and closes
  // its callers' connections.
  HandoverCandidate Candidate() const;
  HandOver Suspend();
  void Resume();
  void EndWithoutOutcome();

private:
  // An attempt in progress.
  struct Running
  {
    Scheduler::Ticket ticket_ = 0;
    Server server_;
    std::shared_ptr<Attempt> attempt_;
    MonotonicTime sent_{};
    // Index in attempts_.
    std::size_t record_ = 0;
    bool hasFirstByte_ = false;
    bool hasEndMark_ = false;
  };

  void Begin();
  void Claim();
  RegisterRequest MakeClaim();
  void OnClaimed(const RegisterReply& aReply);
  void ReportClaimConflict(const RegisterReply& aReply);
  void TakeOverClaim(unsigned aTries);
  void OnClaimTakenOver(const RegisterReply& aReply, unsigned aTries);
  void Choose(bool aIsHedge);
  void OnGranted(Scheduler::Ticket aTicket, const Grant& aGrant, bool aIsHedge);
  void Dispatch(Scheduler::Ticket aTicket, const Server& aServer);
  void ArmHedge(AttemptNumber aAttempt);
  void OnEvents(AttemptNumber aAttempt,
                const std::vector<EngineEvent>& aEvents);
  bool ApplyEvents(Running& aRunning, const std::vector<EngineEvent>& aEvents);
  void SelectWinner(AttemptNumber aAttempt, Running& aRunning);
  void OnAttemptEnd(AttemptNumber aAttempt, const AttemptReply& aReply);
  void OnFailure(AttemptNumber aAttempt, AttemptReply aReply);
  RetryAction Decide(FailureClass aClass, bool aHasProgress);
  void QueryStatus(const Server& aServer);
  void OnStatus(const Server& aServer, const StatusAnswer& aAnswer);
  void OnDeadline();
  void OnAbandoned();

  void CompletePlain(const AttemptReply& aReply, const std::string& aEvidence);
  void CompleteModel(const std::string& aServer);
  void CloseAttempt(AttemptNumber aAttempt,
                    AttemptEnd aEnd,
                    const std::string& aEndText);
  void GiveUp(const CallerError& aError, const std::string& aEvidence);
  void Record(OutcomeKind aKind,
              const std::string& aEvidence,
              const std::optional<KeptAnswer>& aAnswer);
  void StopWork();
  void End();
  // Runs a step now, or after Resume while the task is suspended.
  void RunWhenResumed(std::function<void()> aStep);
  Ran RanSoFar() const { return hasRun_ ? Ran::Ran : Ran::NotRun; }
  Duration Remaining() const;

  RequestContext& context_;
  AcceptedRequest request_;
  std::shared_ptr<AnswerLog> log_;
  Hooks hooks_;
  AnswerAssembler assembler_;
  std::string finishReason_;
  std::vector<AttemptRecord> attempts_;
  std::vector<ServerId> excluded_;
  // Servers named by the claim of an unrepeatable request.
  std::vector<ServerId> claimed_;
  // Previous owners of a request that was handed over.
  std::vector<InstanceId> previousOwners_;
  std::map<AttemptNumber, Running> running_;
  std::set<Scheduler::Ticket> waiting_;
  std::vector<EventLoop::TimerId> timers_;
  // Steps that became due while the task was suspended.
  std::vector<std::function<void()>> deferred_;
  MonotonicTime firstToken_{};
  // The request may have run: a call may have reached a server that has not
  // reported it as not run.
  bool hasRun_ = false;
  // A server is being asked whether an unrepeatable request ran.
  bool isQueryingStatus_ = false;
  bool isSuspended_ = false;
  bool isEnded_ = false;
};

} // namespace sycamoreward
