// The part of RequestRun that reads a backend server's answer and forwards it.

#include "edge/RequestRun.h"

#include "base/DurationUnits.h"
#include "edge/RequestStatus.h"
#include "edge/SendBuffers.h"
#include "edge/ServerLimits.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Maximum size of a plain answer that is buffered until it is complete, so that
// the request can be retried if the answer breaks off.
constexpr std::uint64_t kMaxBufferedBytes = 64 * 1024;
// Maximum size of an event. A server in trouble can send the bytes of one event
// without end, and they are held until the event is complete.
constexpr std::size_t kMaxEventBytes = 256 * 1024;

} // namespace

bool
RequestRun::IsAnswerToRequest(const http::ResponseHead& aHead) const
{
  const ServerAnswer answer =
    state_.codec_.decodeAnswer_(aHead, state_.loop_.GetClock().Now());
  if (answer.id_.Value().empty()) {
    // Servers put the request id in the answers to requests that they accepted.
    // Without an id, only a status of 300 or more on a new connection is taken
    // as the answer.
    return aHead.status_ >= 300 && !isReused_;
  }
  return answer.id_ == request_.id_;
}

void
RequestRun::OnHead(http::ResponseHead aHead, const http::Framing& aFraming)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  state_.loop_.CancelTimer(connectTimer_);
  connectTimer_ = 0;
  const ServerAnswer answer = state_.codec_.decodeAnswer_(aHead, now);
  BackendView* view = FindAttemptServer();
  if (view != nullptr && answer.load_.has_value()) {
    view->load_ = answer.load_;
  }
  if (view != nullptr && !answer.isOtherServer_) {
    RecordAnsweredLimit(answer, aHead.status_, *view);
  }
  if (!answer.isOtherServer_) {
    RecordAnsweredLeaving(answer);
  }
  const bool isOtherServer = answer.isOtherServer_ &&
                             !answer.server_.Value().empty() &&
                             answer.server_ != placement_.server_;
  isNotRun_ = answer.isNotRun_ || isOtherServer;
  // A promise that the request has not run is the server's to make only if it
  // denies the run.
  const bool isPromise = http::PromisesNoRun(aHead.status_) && !isNotRun_;
  const bool isServerError = isPromise || aHead.status_ >= 500;
  if (view != nullptr && route_->kind_ != RouteKind::Stream && !isNotRun_ &&
      !isServerError) {
    RecordServiceTime(state_.pools_[service_], *view, now - sent_, now);
  }
  if (view != nullptr && answer.isOtherServer_) {
    // The address now belongs to another server. Avoid it until the updated
    // server list arrives.
    view->avoidUntil_ = now + std::chrono::seconds(2);
  }
  if (route_->kind_ != RouteKind::Stream && !isNotRun_) {
    // Requests that fail at the server count as run too.
    CountUsage();
  }
  const bool isForwarding = answerState_ == AnswerState::Forwarded;
  answerHead_ = std::move(aHead);
  answerFraming_ = aFraming;
  isEventStream_ =
    route_->kind_ == RouteKind::Stream && answerHead_.status_ == 200 &&
    exchange_->head_.method_ != "HEAD" && http::MayBeEventStream(answerHead_);
  if (isForwarding) {
    // The caller already has the head of the resumed stream, so only events are
    // forwarded. An error may come without a type.
    const bool isTyped = answerHead_.Find("content-type") != nullptr;
    if (isNotRun_ || !isEventStream_ || (hasTypedStream_ && !isTyped)) {
      AbortAnswer("resume_refused");
    }
    return;
  }
  hasTypedStream_ =
    isEventStream_ && answerHead_.Find("content-type") != nullptr;
  const bool isRetried =
    isNotRun_ || (isServerError && IsRepeatable() && CanRetry());
  if (isRetried || isPromise) {
    answerState_ = AnswerState::Discarded;
    discardedBytes_ = 0;
    return;
  }
  const bool isShort = aFraming.end_ == http::BodyEnd::None ||
                       (aFraming.end_ == http::BodyEnd::Length &&
                        aFraming.length_ <= kMaxBufferedBytes) ||
                       aFraming.end_ == http::BodyEnd::Close;
  const bool isStream =
    route_->kind_ == RouteKind::Stream && answerHead_.status_ == 200;
  if (isShort && !isStream) {
    answerState_ = AnswerState::Buffered;
    bufferedBody_.clear();
    if (!isServerError) {
      RecordFirstByte();
    }
    return;
  }
  answerState_ = AnswerState::Forwarded;
  ForwardHead(answerHead_, aFraming);
}

void
RequestRun::RecordAnsweredLimit(const ServerAnswer& aAnswer,
                                int aStatus,
                                BackendView& aView)
{
  if (aAnswer.hasMalformedLimit_) {
    LogLine line("server_limit_malformed");
    line.Add("request", request_.id_.Value())
      .Add("server", placement_.server_.Value());
    state_.log_.WriteImportant(line);
    return;
  }
  // A refusal or an error need not come from the part of the server that knows
  // the limit, so it does not lift one.
  const bool isSuccess = !aAnswer.isNotRun_ && aStatus < 400;
  if (aAnswer.limit_.has_value() || isSuccess) {
    ApplyAnsweredLimit(state_, state_.pools_[service_], aView, aAnswer.limit_);
  }
}

void
RequestRun::RecordAnsweredLeaving(const ServerAnswer& aAnswer)
{
  if (aAnswer.hasMalformedLeaving_) {
    LogLine line("server_leaving_malformed");
    line.Add("request", request_.id_.Value())
      .Add("server", placement_.server_.Value());
    state_.log_.WriteImportant(line);
  }
  if (aAnswer.isLeaving_) {
    RecordLeaving(state_, placement_.server_, serverIncarnation_, "answer");
  }
}

void
RequestRun::ForwardHead(const http::ResponseHead& aHead,
                        const http::Framing& aFraming)
{
  http::ResponseHead head = aHead;
  http::RemoveConnectionFields(head);
  head.Remove("content-length");
  http::Framing framing = aFraming;
  // A resumed stream can have a different length from the one announced in the
  // first answer.
  if (framing.end_ == http::BodyEnd::Close ||
      (framing.end_ == http::BodyEnd::Length && route_->isResumable_)) {
    framing = { http::BodyEnd::Chunked, 0 };
  }
  exchange_->Start(std::move(head), framing);
}

void
RequestRun::RecordFirstByte()
{
  if (hasFirstByte_) {
    return;
  }
  hasFirstByte_ = true;
  firstByte_ = state_.loop_.GetClock().Now();
  state_.metrics_.ObserveFirstByte(service_, Elapsed());
  state_.metrics_.ObserveExpectedWait(service_, placement_.waitMs_);
  CountUsage();
}

void
RequestRun::CountUsage()
{
  if (workspace_ != nullptr && !isUsageCounted_) {
    isUsageCounted_ = true;
    CountBegun(state_.usage_, workspace_->id_, state_.AgreedWall());
  }
}

void
RequestRun::OnBody(std::string_view aBytes)
{
  switch (answerState_) {
    case AnswerState::Discarded:
      discardedBytes_ += aBytes.size();
      if (discardedBytes_ > kMaxBufferedBytes) {
        OnFailed(http::ChannelFailure::MalformedAnswer);
      }
      return;
    case AnswerState::None:
      return;
    case AnswerState::Buffered:
      bufferedBody_.append(aBytes);
      if (bufferedBody_.size() > kMaxBufferedBytes) {
        answerState_ = AnswerState::Forwarded;
        ForwardHead(answerHead_, answerFraming_);
        exchange_->Send(bufferedBody_);
        bufferedBody_.clear();
      }
      exchange_->HoldAnswer(bufferedBody_.size());
      return;
    case AnswerState::Forwarded:
      ForwardBody(aBytes);
      return;
  }
}

void
RequestRun::ForwardBody(std::string_view aBytes)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (BackendView* view = FindAttemptServer()) {
    RecordFirstEvent(state_.pools_[service_], *view, work_, sent_, now);
  }
  if (!isFirstEventReported_) {
    isFirstEventReported_ = true;
    NotifyPlacer(PlacementEvent::FirstEvent);
  }
  RecordFirstByte();
  if (lastForwarded_ != MonotonicTime()) {
    longestPause_ = std::max(longestPause_, now - lastForwarded_);
  }
  lastForwarded_ = now;
  if (isEventStream_ && route_->isResumable_) {
    exchange_->Send(events_.Append(aBytes));
    exchange_->HoldAnswer(events_.Position().partialBytes_);
    if (events_.Position().partialBytes_ > kMaxEventBytes) {
      OnFailed(http::ChannelFailure::MalformedAnswer);
      return;
    }
  } else {
    if (isEventStream_) {
      events_.Skip(aBytes);
    }
    exchange_->Send(aBytes);
  }
  if (exchange_->Unsent() >
        MaxUnsentBytes(state_.requests_.size(), state_.streamedBytes_) &&
      channel_ != nullptr) {
    channel_->PauseReading();
  }
}

void
RequestRun::SendBufferedAnswer()
{
  http::ResponseHead head = answerHead_;
  http::RemoveConnectionFields(head);
  head.Remove("content-length");
  exchange_->Answer(std::move(head), bufferedBody_);
}

bool
RequestRun::IsBrokenStream() const
{
  if (!isEventStream_ || answerState_ != AnswerState::Forwarded) {
    return false;
  }
  StreamEnd end;
  end.position_ = events_.Position();
  end.isResumed_ = request_.isResumption_;
  return IsBrokenOff(end);
}

void
RequestRun::OnEnd()
{
  if (IsBrokenStream()) {
    OnFailed(http::ChannelFailure::TruncatedAnswer);
    return;
  }
  const MonotonicTime now = state_.loop_.GetClock().Now();
  BackendView* view = FindAttemptServer();
  const bool isFailure = isNotRun_ || answerHead_.status_ >= 500 ||
                         http::PromisesNoRun(answerHead_.status_);
  if (view != nullptr) {
    RecordResult(*view, isFailure, now);
  }
  if (isFailure) {
    NotifyPlacer(PlacementEvent::Failed);
  } else {
    state_.crashes_.RecordAnswer(fingerprints_);
  }
  ReleaseServer(true);
  switch (answerState_) {
    case AnswerState::Discarded: {
      answerState_ = AnswerState::None;
      if (isNotRun_) {
        --possibleRuns_;
      }
      if (CanRetry()) {
        Retry(isNotRun_ ? "refused_by_server" : "server_error");
      } else if (possibleRuns_ == 0) {
        Refuse(kUnavailable, "refused_by_server", kStartingRetryAfter);
      } else {
        Fail(kBadGateway, "server_error");
      }
      return;
    }
    case AnswerState::Buffered:
      SendBufferedAnswer();
      Complete();
      return;
    case AnswerState::Forwarded:
      exchange_->Finish();
      Complete();
      return;
    case AnswerState::None:
      return;
  }
}

void
RequestRun::OnFailed(http::ChannelFailure aFailure)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (BackendView* view = FindAttemptServer()) {
    RecordResult(*view, true, now);
    if (aFailure == http::ChannelFailure::NotConnected) {
      view->avoidUntil_ = now + kUnreachableBackoff;
    }
  }
  const bool isUnsent = aFailure == http::ChannelFailure::NotConnected;
  LogLine line("attempt_failed");
  line.Add("request", request_.id_.Value())
    .Add("server", placement_.server_.Value())
    .Add("failure", http::ToText(aFailure))
    .Add("reused", isReused_)
    .Add("framing",
         answerHead_.status_ == 0 ? "" : http::ToText(answerFraming_.end_))
    .Add("partialBytes", events_.Position().partialBytes_)
    .Add("events", events_.Position().events_)
    .Add("fingerprints", ToText(fingerprints_))
    .Add("afterMs", Milliseconds(now - sent_));
  state_.log_.WriteImportant(line);
  const bool isLost = aFailure == http::ChannelFailure::NoAnswer ||
                      aFailure == http::ChannelFailure::TruncatedAnswer;
  state_.crashes_.RemoveRun(work_, isLost);
  if (isLost) {
    lost_.emplace_back(placement_.server_, serverIncarnation_);
  }
  NotifyPlacer(isUnsent ? PlacementEvent::Unreachable : PlacementEvent::Failed);
  ReleaseServer(false);
  if (isUnsent || (answerState_ == AnswerState::Discarded && isNotRun_)) {
    --possibleRuns_;
  }
  if (answerState_ == AnswerState::Forwarded) {
    events_.DropPartial();
    const bool canResume =
      route_->isResumable_ && !events_.LastId().empty() && CanRetry();
    if (canResume) {
      Retry("resume");
    } else {
      AbortAnswer(http::ToText(aFailure));
    }
    return;
  }
  answerState_ = AnswerState::None;
  bufferedBody_.clear();
  exchange_->HoldAnswer(0);
  if (CanRetry()) {
    Retry(http::ToText(aFailure));
  } else if (possibleRuns_ == 0) {
    Refuse(kUnavailable, http::ToText(aFailure), kStartingRetryAfter);
  } else {
    Fail(kBadGateway, http::ToText(aFailure));
  }
}

void
RequestRun::OnConnectTimeout()
{
  if (channel_ != nullptr && !channel_->IsConnected()) {
    OnFailed(http::ChannelFailure::NotConnected);
  }
}

void
RequestRun::OnFirstByteTimeout()
{
  if (channel_ == nullptr || hasFirstByte_) {
    return;
  }
  if (answerState_ == AnswerState::Discarded) {
    // The rest of an answer that is not passed on must not delay the retry.
    OnFailed(http::ChannelFailure::TruncatedAnswer);
    return;
  }
  if (answerState_ != AnswerState::None) {
    return;
  }
  if (IsRepeatable() && CanRetry()) {
    OnFailed(http::ChannelFailure::NoAnswer);
    return;
  }
  // The request can't be retried, so it stays at the server. Record a failure
  // so that other requests avoid this server.
  if (BackendView* view = FindAttemptServer()) {
    RecordResult(*view, true, state_.loop_.GetClock().Now());
  }
}

void
RequestRun::OnDeadline()
{
  if (isEnded_) {
    return;
  }
  const bool wasConnected = channel_ != nullptr && channel_->IsConnected();
  if (channel_ != nullptr && !wasConnected) {
    --possibleRuns_;
  }
  ReleaseServer(false);
  if (answerState_ == AnswerState::Forwarded) {
    AbortAnswer("deadline");
  } else if (possibleRuns_ == 0) {
    Refuse(kUnavailable, "deadline", kStartingRetryAfter);
  } else {
    Fail(kGatewayTimeout, "deadline");
  }
}

void
RequestRun::OnCallerDisconnected()
{
  if (isEnded_) {
    return;
  }
  ReleaseServer(false);
  End("caller_left", 0, false);
}

} // namespace sycamoreward::edge
