// The part of RequestRun that reads a backend server's answer and passes it on.

#include "edge/RequestRun.h"

#include "base/DurationUnits.h"
#include "edge/RequestStatus.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Bytes of a plain answer that are kept until it is whole, so that a broken
// one can be asked for again.
constexpr std::uint64_t kMostKeptBytes = 64 * 1024;
// Unsent bytes for a caller above which the server's answer is read no further.
constexpr std::size_t kMostUnsentBytes = 256 * 1024;

} // namespace

bool
RequestRun::IsOwnAnswer(const http::ResponseHead& aHead) const
{
  const ServerAnswer answer =
    state_.codec_.decodeAnswer_(aHead, state_.loop_.GetClock().Now());
  if (answer.id_.Value().empty()) {
    // Servers name the request in each answer that they stand for.
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
  BackendView* view = ServerOfAttempt();
  if (view != nullptr && answer.load_.has_value()) {
    view->load_ = answer.load_;
  }
  isNotRun_ = answer.isNotRun_ || answer.isOtherServer_;
  const bool isServerError = aHead.status_ >= 500;
  if (view != nullptr && route_->kind_ != RouteKind::Stream && !isNotRun_ &&
      !isServerError) {
    NoteWork(state_.pools_[service_], *view, now - sent_, now);
  }
  if (view != nullptr && answer.isOtherServer_) {
    // The address belongs to another server now; the list will say so.
    view->avoidUntil_ = now + std::chrono::seconds(2);
  }
  if (route_->kind_ != RouteKind::Stream && !isNotRun_) {
    // The server's own failures count as run too.
    CountUsage();
  }
  const bool isPassing = answerState_ == AnswerState::Passed;
  answerHead_ = std::move(aHead);
  answerFraming_ = aFraming;
  if (isPassing) {
    // A resumed stream: only events are passed on.
    if (isNotRun_ || answerHead_.status_ != 200) {
      AbortAnswer("resume_refused");
    }
    return;
  }
  const bool isRetried =
    isNotRun_ || (isServerError && MayRepeat() && CanTryAgain());
  if (isRetried) {
    answerState_ = AnswerState::Discarded;
    return;
  }
  const bool isShort = aFraming.end_ == http::BodyEnd::None ||
                       (aFraming.end_ == http::BodyEnd::Length &&
                        aFraming.length_ <= kMostKeptBytes) ||
                       aFraming.end_ == http::BodyEnd::Close;
  const bool isStream =
    route_->kind_ == RouteKind::Stream && answerHead_.status_ == 200;
  if (isShort && !isStream) {
    answerState_ = AnswerState::Kept;
    kept_.clear();
    if (!isServerError) {
      NoteBegun();
    }
    return;
  }
  answerState_ = AnswerState::Passed;
  PassHead(answerHead_, aFraming);
}

void
RequestRun::PassHead(const http::ResponseHead& aHead,
                     const http::Framing& aFraming)
{
  http::ResponseHead head = aHead;
  http::RemoveConnectionFields(head);
  head.Remove("content-length");
  http::Framing framing = aFraming;
  // A resumed stream has another length than its first part said.
  if (framing.end_ == http::BodyEnd::Close ||
      (framing.end_ == http::BodyEnd::Length && route_->isResumable_)) {
    framing = { http::BodyEnd::Chunked, 0 };
  }
  exchange_->Start(std::move(head), framing);
}

void
RequestRun::NoteBegun()
{
  if (hasBegun_) {
    return;
  }
  hasBegun_ = true;
  firstByte_ = state_.loop_.GetClock().Now();
  state_.metrics_.ObserveFirstByte(service_, Elapsed());
  state_.metrics_.ObserveExpectedWait(service_, placement_.waitMs_);
  CountUsage();
}

void
RequestRun::CountUsage()
{
  if (workspace_ != nullptr && !isCounted_) {
    isCounted_ = true;
    CountBegun(state_.usage_, workspace_->id_, state_.AgreedWall());
  }
}

void
RequestRun::OnBody(std::string_view aBytes)
{
  switch (answerState_) {
    case AnswerState::Discarded:
    case AnswerState::None:
      return;
    case AnswerState::Kept:
      kept_.append(aBytes);
      if (kept_.size() > kMostKeptBytes) {
        answerState_ = AnswerState::Passed;
        PassHead(answerHead_, answerFraming_);
        exchange_->Send(kept_);
        kept_.clear();
      }
      return;
    case AnswerState::Passed:
      PassBody(aBytes);
      return;
  }
}

void
RequestRun::PassBody(std::string_view aBytes)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (BackendView* view = ServerOfAttempt()) {
    NoteFirstEvent(state_.pools_[service_], *view, work_, sent_, now);
  }
  if (!isFirstEventTold_) {
    isFirstEventTold_ = true;
    TellPlacer(PlacedEvent::FirstEvent);
  }
  NoteBegun();
  if (lastPiece_ != MonotonicTime()) {
    longestPause_ = std::max(longestPause_, now - lastPiece_);
  }
  lastPiece_ = now;
  if (route_->isResumable_) {
    exchange_->Send(events_.Take(aBytes));
  } else {
    exchange_->Send(aBytes);
  }
  if (exchange_->Unsent() > kMostUnsentBytes && channel_ != nullptr) {
    channel_->PauseReading();
  }
}

void
RequestRun::PassKept()
{
  http::ResponseHead head = answerHead_;
  http::RemoveConnectionFields(head);
  head.Remove("content-length");
  exchange_->Answer(std::move(head), kept_);
}

void
RequestRun::OnEnd()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  BackendView* view = ServerOfAttempt();
  const bool isFailure = isNotRun_ || answerHead_.status_ >= 500;
  if (view != nullptr) {
    NoteResult(*view, isFailure, now);
  }
  if (isFailure) {
    TellPlacer(PlacedEvent::Failed);
  }
  ReleaseServer(true);
  switch (answerState_) {
    case AnswerState::Discarded: {
      answerState_ = AnswerState::None;
      if (isNotRun_) {
        --runs_;
      }
      if (CanTryAgain()) {
        TryAgain(isNotRun_ ? "refused_by_server" : "server_error");
      } else if (runs_ == 0) {
        Refuse(kUnavailable, "refused_by_server", kStartingRetryAfter);
      } else {
        Fail(kBadGateway, "server_error");
      }
      return;
    }
    case AnswerState::Kept:
      PassKept();
      Complete();
      return;
    case AnswerState::Passed:
      if (events_.HasPartial()) {
        AbortAnswer("partial_event");
        return;
      }
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
  if (BackendView* view = ServerOfAttempt()) {
    NoteResult(*view, true, now);
    if (aFailure == http::ChannelFailure::NotConnected) {
      view->avoidUntil_ = now + kUnreachableTime;
    }
  }
  const bool isUnsent = aFailure == http::ChannelFailure::NotConnected;
  LogLine line("attempt_failed");
  line.Add("request", request_.id_.Value())
    .Add("server", placement_.server_.Value())
    .Add("failure", http::ToText(aFailure))
    .Add("reused", isReused_)
    .Add("afterMs", Milliseconds(now - sent_));
  state_.log_.WriteImportant(line);
  TellPlacer(isUnsent ? PlacedEvent::Unreachable : PlacedEvent::Failed);
  ReleaseServer(false);
  if (isUnsent || (answerState_ == AnswerState::Discarded && isNotRun_)) {
    --runs_;
  }
  if (answerState_ == AnswerState::Passed) {
    events_.DropPartial();
    const bool canResume =
      route_->isResumable_ && !events_.LastId().empty() && CanTryAgain();
    if (canResume) {
      TryAgain("resume");
    } else {
      AbortAnswer(http::ToText(aFailure));
    }
    return;
  }
  answerState_ = AnswerState::None;
  kept_.clear();
  if (CanTryAgain()) {
    TryAgain(http::ToText(aFailure));
  } else if (runs_ == 0) {
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
RequestRun::OnSilence()
{
  if (channel_ == nullptr || hasBegun_ || answerState_ != AnswerState::None) {
    return;
  }
  if (MayRepeat() && CanTryAgain()) {
    OnFailed(http::ChannelFailure::NoAnswer);
    return;
  }
  // The request can't be repeated: the server keeps it, and others are warned.
  if (BackendView* view = ServerOfAttempt()) {
    NoteResult(*view, true, state_.loop_.GetClock().Now());
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
    --runs_;
  }
  ReleaseServer(false);
  if (answerState_ == AnswerState::Passed) {
    AbortAnswer("deadline");
  } else if (runs_ == 0) {
    Refuse(kUnavailable, "deadline", kStartingRetryAfter);
  } else {
    Fail(kGatewayTimeout, "deadline");
  }
}

void
RequestRun::OnCallerGone()
{
  if (isEnded_) {
    return;
  }
  ReleaseServer(false);
  End("caller_left", 0, false);
}

} // namespace sycamoreward::edge
