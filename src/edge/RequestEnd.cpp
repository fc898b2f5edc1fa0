// The part of RequestRun that ends a request: refusals, failures, completion
// and the final log line.

#include "edge/RequestRun.h"

#include "base/DurationUnits.h"
#include "edge/RequestStatus.h"

namespace sycamoreward::edge {

namespace {

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case kBadRequest:
      return "Bad Request";
    case kUnauthorized:
      return "Unauthorized";
    case kNotFound:
      return "Not Found";
    case kTooManyRequests:
      return "Too Many Requests";
    case kBadGateway:
      return "Bad Gateway";
    case kUnavailable:
      return "Service Unavailable";
    default:
      return "Gateway Timeout";
  }
}

std::string
ErrorBody(const char* aReason, const char* aRan)
{
  return std::string("{\"code\":\"") + aReason + "\",\"ran\":\"" + aRan +
         "\"}\n";
}

} // namespace

void
RequestRun::Refuse(int aStatus, const char* aReason, Duration aRetryAfter)
{
  if (answerState_ == AnswerState::Forwarded) {
    AbortAnswer(aReason);
    return;
  }
  const int status = http::StatusForCaller(aStatus, possibleRuns_ > 0);
  if (status != aStatus) {
    Fail(status, aReason);
    return;
  }
  if (isQuotaTaken_) {
    RefundQuota(state_.quotas_[workspace_->id_], quotaAmount_);
  }
  http::ResponseHead head;
  head.status_ = aStatus;
  head.reason_ = ReasonPhrase(aStatus);
  head.fields_.push_back({ "Content-Type", "application/json" });
  state_.codec_.encodeRetryAfter_(head, aRetryAfter);
  exchange_->Answer(std::move(head), ErrorBody(aReason, "not_run"));
  End(aReason, aStatus, true);
}

void
RequestRun::Fail(int aStatus, const char* aReason)
{
  http::ResponseHead head;
  head.status_ = aStatus;
  head.reason_ = ReasonPhrase(aStatus);
  head.fields_.push_back({ "Content-Type", "application/json" });
  exchange_->Answer(
    std::move(head),
    ErrorBody(aReason, possibleRuns_ == 0 ? "not_run" : "unknown"));
  End(aReason, aStatus, true);
}

void
RequestRun::Stop()
{
  constexpr const char* kReason = "instance_ends";
  const auto self = shared_from_this();
  if (channel_ != nullptr && !channel_->IsConnected()) {
    // The request can't have reached the server.
    --possibleRuns_;
  }
  ReleaseServer(false);
  Refuse(kUnavailable, kReason, kStartingRetryAfter);
}

void
RequestRun::AbortAnswer(const char* aReason)
{
  ReleaseServer(false);
  exchange_->Abort();
  End(aReason, 0, true);
}

void
RequestRun::Complete()
{
  state_.metrics_.ObserveTotal(service_, Elapsed());
  End("completed", answerHead_.status_, answerHead_.status_ >= 500);
}

bool
RequestRun::IsLate(Duration aWait) const
{
  if (route_ == nullptr) {
    return false;
  }
  return aWait > route_->objective_ || longestPause_ > route_->maxPause_;
}

void
RequestRun::End(const char* aReason, int aStatus, bool aIsFailure)
{
  if (isEnded_) {
    return;
  }
  isEnded_ = true;
  state_.requests_.erase(this);
  CancelAttemptTimers();
  state_.loop_.CancelTimer(deadlineTimer_);
  exchange_->SetCallbacks({});
  state_.metrics_.CountEnd(service_, aReason);
  const Duration wait =
    hasFirstByte_ ? firstByte_ - exchange_->received_ : Duration(0);
  LogLine line("request_end");
  line.Add("request", request_.id_.Value())
    .Add("outcome", aReason)
    .Add("status", aStatus)
    .Add("route", route_ == nullptr ? "" : route_->name_.c_str())
    .Add("workspace",
         workspace_ == nullptr ? "" : workspace_->id_.Value().c_str())
    .Add("server", placement_.server_.Value())
    .Add("sends", std::uint64_t(attempts_))
    .Add("runs", std::uint64_t(possibleRuns_))
    .Add("expectedMs", placement_.waitMs_)
    .Add("serverStatus", answerHead_.status_)
    .Add("firstByteMs", Milliseconds(wait))
    .Add("longestPauseMs", Milliseconds(longestPause_))
    .Add("framing",
         answerHead_.status_ == 0 ? "" : http::ToText(answerFraming_.end_))
    .Add("events", events_.Position().events_)
    .Add("late", IsLate(wait))
    .Add("totalMs", Milliseconds(Elapsed()));
  if (aIsFailure) {
    state_.log_.WriteImportant(line);
  } else {
    state_.log_.Write(line);
  }
}

} // namespace sycamoreward::edge
