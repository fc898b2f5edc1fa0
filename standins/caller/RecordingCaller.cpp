#include "caller/RecordingCaller.h"

#include "engine/Generate.h"
#include "recovery/SseParser.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr std::chrono::milliseconds kRetryDelay{ 200 };
constexpr std::chrono::seconds kSilenceTimeout{ 8 };

RanReport
ReadRan(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  const std::string ran = json.is_object() && json.contains("error")
                            ? json["error"].value("ran", std::string("unknown"))
                            : "unknown";
  if (ran == "not_run") {
    return RanReport::NotRun;
  }
  return ran == "ran" ? RanReport::Ran : RanReport::Unknown;
}

std::string
TextOf(const nlohmann::json& aEvent)
{
  const auto& choice = aEvent.at("choices").at(0);
  if (choice.contains("text")) {
    return choice.at("text");
  }
  return choice.value("delta", nlohmann::json::object())
    .value("content", std::string());
}

} // namespace

struct RecordingCaller::RequestState
{
  CallerRequest request_;
  CallerHistory history_;
  MonotonicTime start_{};
  // The members below, except isDone_, belong to the current attempt.
  CallerReply reply_;
  std::string body_;
  SseParser events_;
  bool isStream_ = false;
  bool hasEndMark_ = false;
  bool isDone_ = false;
};

CallerRequest
CompletionRequest(const std::string& aName,
                  const std::string& aService,
                  unsigned aTokens,
                  const std::vector<Address>& aAddresses)
{
  CallerRequest request;
  request.name_ = aName;
  request.service_ = ServiceName(aService);
  request.target_ = "/v1/completions";
  const std::string prompt = "Sheet of " + aName;
  request.body_ = nlohmann::json{
    { "model", aService },
    { "prompt", prompt },
    { "max_tokens", aTokens },
    { "stream", true }
  }.dump();
  request.expectedAnswer_ = standin::ExpectedAnswer(prompt, aTokens);
  request.addresses_ = aAddresses;
  return request;
}

CallerRequest
RecordRequest(const std::string& aName,
              const std::string& aService,
              const std::vector<Address>& aAddresses)
{
  CallerRequest request;
  request.name_ = aName;
  request.service_ = ServiceName(aService);
  request.target_ = "/services/" + aService + "/records";
  request.body_ = "Certificate for " + aName;
  request.isRepeatable_ = false;
  request.addresses_ = aAddresses;
  return request;
}

RecordingCaller::RecordingCaller(EventLoop& aLoop,
                                 HttpClient& aClient,
                                 std::string aToken)
  : loop_(aLoop)
  , client_(aClient)
  , token_(std::move(aToken))
{
}

void
RecordingCaller::OnData(std::function<void(const std::string& aName)> aCallback)
{
  onData_ = std::move(aCallback);
}

std::vector<CallerHistory>
RecordingCaller::Histories() const
{
  std::vector<CallerHistory> histories;
  for (const auto& run : runs_) {
    histories.push_back(run->history_);
  }
  return histories;
}

void
RecordingCaller::Start(const CallerRequest& aRequest)
{
  auto run = std::make_shared<RequestState>();
  run->request_ = aRequest;
  run->history_.name_ = aRequest.name_;
  run->history_.service_ = aRequest.service_;
  run->history_.isRepeatable_ = aRequest.isRepeatable_;
  run->history_.expectedAnswer_ = aRequest.expectedAnswer_;
  run->history_.deadline_ = aRequest.deadline_;
  run->start_ = loop_.GetClock().Now();
  runs_.push_back(run);
  ++openRequests_;
  SendRequest(run);
}

void
RecordingCaller::SendRequest(const std::shared_ptr<RequestState>& aState)
{
  const CallerRequest& request = aState->request_;
  const std::size_t attempts = aState->history_.replies_.size();
  HttpClientRequest call;
  call.address_ = request.addresses_[attempts % request.addresses_.size()];
  call.method_ = request.method_;
  call.target_ = request.target_;
  call.headers_ = { { "Authorization", "Bearer " + token_ },
                    { "Idempotency-Key", request.name_ },
                    { "Content-Type", "application/json" } };
  call.body_ = request.body_;
  call.silenceTimeout_ = kSilenceTimeout;
  call.mayReuseConnection_ = false;
  aState->reply_ = {};
  aState->body_.clear();
  aState->events_ = SseParser();
  aState->hasEndMark_ = false;
  HttpCallbacks callbacks;
  callbacks.onHead_ = [aState](int aStatus, const HttpHeaders& aHeaders) {
    aState->reply_.status_ = aStatus;
    aState->reply_.request_ = RequestId(FindHeader(aHeaders, "X-Request-Id"));
    aState->isStream_ =
      FindHeader(aHeaders, "Content-Type").find("text/event-stream") == 0;
  };
  callbacks.onData_ = [this, aState](std::string_view aData) {
    if (aState->isStream_) {
      std::vector<std::string> events;
      aState->events_.Feed(aData, events);
      for (const std::string& event : events) {
        if (event == "[DONE]") {
          aState->hasEndMark_ = true;
        } else {
          aState->reply_.answer_ += TextOf(nlohmann::json::parse(event));
        }
      }
    } else {
      aState->body_.append(aData);
    }
    if (onData_) {
      onData_(aState->request_.name_);
    }
  };
  callbacks.onEnd_ = [this, aState](HttpEnd aEnd) { OnEnd(aState, aEnd); };
  client_.Start(call, std::move(callbacks));
}

void
RecordingCaller::OnEnd(const std::shared_ptr<RequestState>& aState,
                       HttpEnd aEnd)
{
  CallerReply& reply = aState->reply_;
  const bool isError = reply.status_ >= kFirstErrorStatus;
  reply.isComplete_ = aEnd == HttpEnd::Complete &&
                      (isError || !aState->isStream_ || aState->hasEndMark_);
  reply.elapsed_ = loop_.GetClock().Now() - aState->start_;
  if (isError) {
    reply.ran_ = ReadRan(aState->body_);
  } else if (!aState->isStream_) {
    reply.answer_ = aState->body_;
  }
  aState->history_.replies_.push_back(reply);
  // 503 means that the caller should retry; other error statuses are final.
  const bool mayRetry =
    !reply.isComplete_ ||
    (reply.status_ == 503 && aState->request_.triesAfterRefusal_);
  const bool isLate = reply.elapsed_ > aState->request_.deadline_;
  if (mayRetry && !isLate &&
      aState->history_.replies_.size() < aState->request_.maxTries_) {
    loop_.CallAfter(kRetryDelay, [this, aState] { SendRequest(aState); });
    return;
  }
  aState->isDone_ = true;
  --openRequests_;
}

} // namespace sycamoreward
