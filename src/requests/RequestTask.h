#pragma once

// The life of one request, in order: accept, claim, choose, dispatch, stream,
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

class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
  // Limits of the wait for the ledger's reply to a claim.
  static constexpr Duration kClaimTimeout = std::chrono::seconds(2);
  static constexpr Duration kRepeatableClaimTimeout =
    std::chrono::milliseconds(100);
  // Servers that a claim names.
  static constexpr std::size_t kMaxClaimedServers = 16;
  // Tries to take over the claim of a request whose call was sent, each for
  // kClaimTimeout.
  static constexpr unsigned kMaxClaimTakeOvers = 15;
  // Largest answer of a model service.
  static constexpr std::uint64_t kMaxAnswerBytes = 4 * 1024 * 1024;
  static constexpr std::size_t kMaxAnswerTokens = 1024 * 1024;

  struct Hooks
  {
    // The task has ended: its outcome is recorded, or it goes on elsewhere.
    std::function<void()> onEnded_;
    // The key belongs to another request; the task ended without an outcome,
    // and the log is open for that request's answer.
    std::function<void(RegisterReply)> onClaimConflict_;
  };

  RequestTask(RequestContext& aContext,
              AcceptedRequest aRequest,
              std::shared_ptr<AnswerLog> aLog,
              Hooks aHooks);

  // Runs the request from its claim on.
  void Start();

  // Runs a repeatable request whose earlier answer is no longer kept. The key's
  // claim stays with the earlier request.
  void StartWithoutClaim();

  // Continues a request that another instance has handed over.
  void Adopt(const HandOver& aMessage);

  const AcceptedRequest& Request() const { return request_; }
  const std::shared_ptr<AnswerLog>& Log() const { return log_; }

  // Handover: Freeze stops the request and describes it; Thaw lets it go on;
  // Leave ends it here without an outcome and cuts its callers' connections.
  HandoverCandidate Candidate() const;
  HandOver Suspend();
  void Resume();
  void EndWithoutOutcome();

private:
  struct Running
  {
    Scheduler::Ticket ticket_ = 0;
    Server server_;
    std::shared_ptr<Attempt> attempt_;
    MonotonicTime sent_{};
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
  // Servers that the claim of an unrepeatable request names.
  std::vector<ServerId> claimed_;
  // Owners before this instance, of a request that was handed over.
  std::vector<InstanceId> previousOwners_;
  std::map<AttemptNumber, Running> running_;
  std::set<Scheduler::Ticket> waiting_;
  std::vector<EventLoop::TimerId> timers_;
  // Steps that came due while the request was frozen.
  std::vector<std::function<void()>> deferred_;
  MonotonicTime firstToken_{};
  // A byte may have reached a server that did not deny that the request ran.
  bool hasRun_ = false;
  bool isQueryingStatus_ = false;
  bool isSuspended_ = false;
  bool isEnded_ = false;
};

} // namespace sycamoreward
