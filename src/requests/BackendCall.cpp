#include "requests/BackendCall.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr int kSilenceFactor = 3;
constexpr int kTooManyRequests = 429;

} // namespace

Duration
FirstByteTimeout(const Service& aService)
{
  return std::max(kMinSilenceTimeout,
                  kSilenceFactor * aService.class_.firstByteTarget_);
}

Duration
TokenGapTimeout()
{
  return std::max(kMinSilenceTimeout, kSilenceFactor * kTokenGapP95);
}

HttpClientRequest
MakeBackendCall(const AcceptedRequest& aRequest, const BackendCallInput& aInput)
{
  HttpClientRequest call;
  call.address_ = aInput.server_;
  call.method_ = aRequest.method_;
  call.target_ = aRequest.backendTarget_;
  call.connectTimeout_ = kMinSilenceTimeout;
  call.silenceTimeout_ = FirstByteTimeout(aRequest.service_);
  call.mayReuseConnection_ = aRequest.isRepeatable_;
  call.headers_ = {
    { "X-Request-Id", aRequest.id_.Value() },
    { "traceparent", WriteTraceParent(aRequest.trace_, aInput.spanId_) },
    { "X-Request-Deadline-Ms",
      std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(aInput.remaining_)
          .count()) }
  };
  if (aRequest.model_) {
    call.headers_.emplace_back("Content-Type", "application/json");
    call.body_ = EngineBody(*aRequest.model_,
                            aRequest.service_,
                            aRequest.id_,
                            aInput.attempt_,
                            aInput.delivered_);
  } else {
    if (!aRequest.contentType_.empty()) {
      call.headers_.emplace_back("Content-Type", aRequest.contentType_);
    }
    call.body_ = aRequest.body_;
  }
  return call;
}

AttemptFailure
ReadFailure(const AttemptReply& aReply)
{
  AttemptFailure failure;
  failure.end_ = aReply.end_;
  failure.status_ = aReply.status_;
  failure.isConfirmedNotRun_ = IsRefusal(aReply);
  failure.isLeaving_ =
    failure.isConfirmedNotRun_ &&
    FindHeader(aReply.headers_, "Sycamoreward-Accepting") == "false";
  failure.isWrongVersion_ =
    FindHeader(aReply.headers_, "Sycamoreward-Wrong-Version") == "true";
  return failure;
}

bool
IsRefusal(const AttemptReply& aReply)
{
  return aReply.end_ == HttpEnd::Complete &&
         (aReply.status_ == kTooManyRequests ||
          FindHeader(aReply.headers_, "Sycamoreward-Ran") == "not_run");
}

bool
MayHaveRun(FailureClass aClass)
{
  return aClass == FailureClass::Transport ||
         aClass == FailureClass::ServerError;
}

} // namespace sycamoreward
