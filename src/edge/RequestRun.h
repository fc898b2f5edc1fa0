#pragma once

// One request of a caller from its arrival to its answer: accept, admit,
// choose a server, send, pass the answer on, and end. The decisions are made
// by Placement, Admission, Quota and the retry budget; this class carries
// them out.

#include "edge/EdgeState.h"
#include "edge/EventSplitter.h"
#include "edge/Placement.h"
#include "edge/PlacementExchange.h"
#include "http/CallerServer.h"
#include "runtime/EventLoop.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sycamoreward::edge {

class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(EdgeState& aState,
             std::shared_ptr<http::CallerExchange> aExchange);

  // Handles the request; the object lives until it has ended.
  void Start();

private:
  // What is known of the current attempt's answer.
  enum class AnswerState
  {
    None,
    // The body of an answer that is not passed on is read to its end.
    Discarded,
    // A short answer is kept until it is whole.
    Buffered,
    Forwarded
  };

  // Returns false when it has ended the request.
  bool Accept();

  // Each goes on with the first attempt, or refuses the request.
  void CheckQuota();
  void AskForQuota();
  void RefuseQuota(const char* aReason);
  // Chooses a server, or has a placer choose one, and sends the request there.
  void StartPlacement(const char* aCause);
  void OnPlacerAnswer(const char* aCause,
                      const PlacementQuery& aQuery,
                      const std::optional<PlacerAnswer>& aAnswer);
  // Sends the request to the server of placement_ unless it would be late.
  void Admit(const char* aCause);

  void SendAttempt(const char* aCause);
  // Tells the placer of the attempt, if there is one.
  void NotifyPlacer(PlacedEvent aEvent);
  http::RequestHead MakeServerRequestHead() const;
  void Retry(const char* aCause);
  bool CanRetry() const;
  bool IsRepeatable() const;

  bool IsAnswerToRequest(const http::ResponseHead& aHead) const;
  void OnHead(http::ResponseHead aHead, const http::Framing& aFraming);
  void OnBody(std::string_view aBytes);
  void OnEnd();
  void OnFailed(http::ChannelFailure aFailure);
  void OnConnectTimeout();
  void OnFirstByteTimeout();
  void OnDeadline();
  void OnCallerDisconnected();

  void ForwardHead(const http::ResponseHead& aHead,
                   const http::Framing& aFraming);
  void ForwardBody(std::string_view aBytes);
  void SendBufferedAnswer();
  void RecordFirstByte();
  // Counts the request, once, as one that a server began to run.
  void CountUsage();

  // Takes the request off its server. aKeep returns the connection for reuse.
  void ReleaseServer(bool aKeep);
  BackendView* FindAttemptServer();
  void CancelAttemptTimers();

  // Answers with an error of the system's own. aRan is "not_run" only when no
  // server can have run the request.
  void Refuse(int aStatus, const char* aReason, Duration aRetryAfter);
  void Fail(int aStatus, const char* aReason);
  void AbortAnswer(const char* aReason);
  void Complete();
  void End(const char* aReason, int aStatus, bool aIsFailure);
  // Whether the answer began later than its objective, or paused for longer
  // than the route allows.
  bool IsLate(Duration aWait) const;

  Duration Elapsed() const;
  Duration Remaining() const;

  EdgeState& state_;
  std::shared_ptr<http::CallerExchange> exchange_;
  CallerRequest request_;
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  const WorkspaceSpec* workspace_ = nullptr;
  ServiceName service_;
  MonotonicTime deadline_;
  // Amount of the workspace's quota that the request needs, and whether it was
  // taken.
  double quotaAmount_ = 0;
  bool isQuotaTaken_ = false;
  EventLoop::TimerId deadlineTimer_ = 0;
  bool isEnded_ = false;

  // Attempts that a server may have run, and all that were sent.
  std::uint32_t possibleRuns_ = 0;
  std::uint32_t attempts_ = 0;
  std::set<ServerId> tried_;

  // The current attempt.
  Placement placement_;
  // Set while a placer counts the attempt.
  std::optional<PlacedWork> placedWork_;
  // A placer counts the attempt, or counted it before it ended.
  bool isTrackedByPlacer_ = false;
  bool isFirstEventReported_ = false;
  Incarnation serverIncarnation_;
  std::uint64_t work_ = 0;
  MonotonicTime sent_;
  std::shared_ptr<http::BackendChannel> channel_;
  bool isReused_ = false;
  EventLoop::TimerId connectTimer_ = 0;
  EventLoop::TimerId firstByteTimer_ = 0;
  AnswerState answerState_ = AnswerState::None;
  bool isNotRun_ = false;
  http::ResponseHead answerHead_;
  http::Framing answerFraming_;
  std::string bufferedBody_;
  EventSplitter events_;
  bool hasFirstByte_ = false;
  bool isUsageCounted_ = false;
  MonotonicTime firstByte_;
  // Of the pieces of a stream that were passed on.
  MonotonicTime lastForwarded_;
  Duration longestPause_{ 0 };
};

} // namespace sycamoreward::edge
