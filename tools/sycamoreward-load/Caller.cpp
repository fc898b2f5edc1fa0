#include "Caller.h"

#include "recovery/SseParser.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward::load {

namespace {

using nlohmann::json;

const std::string kEmptyText = R"("text":"")";
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

} // namespace

const char*
ToString(CallEnd aEnd)
{
  switch (aEnd) {
    case CallEnd::Completed:
      return "completed";
    case CallEnd::Failed:
      return "failed";
    case CallEnd::NotRun:
      return "not run";
    case CallEnd::Unknown:
      return "unknown";
  }
  return "";
}

struct Caller::State
{
  State(EventLoop& aLoop, std::vector<Address> aAddresses)
    : loop_(aLoop)
    , client_(aLoop)
    , addresses_(std::move(aAddresses))
  {
  }

  EventLoop& loop_;
  HttpClient client_;
  std::vector<Address> addresses_;
  std::size_t nextAddress_ = 0;
};

namespace {

// One call with all of its attempts.
struct Call : std::enable_shared_from_this<Call>
{
  std::shared_ptr<Caller::State> state_;
  CallSpec spec_;
  std::function<void(CallResult)> onResult_;
  CallResult result_;
  MonotonicTime start_{};
  MonotonicTime lastToken_{};
  SseParser parser_;
  std::string body_;
  std::string retryAfter_;
  bool hasDoneEvent_ = false;

  MonotonicTime Now() const { return state_->loop_.GetClock().Now(); }

  void StartAttempt()
  {
    ++result_.attempts_;
    result_.text_.clear();
    result_.tokens_ = 0;
    result_.tokenGaps_.clear();
    result_.status_ = 0;
    parser_ = SseParser();
    body_.clear();
    hasDoneEvent_ = false;
    HttpClientRequest request;
    request.address_ =
      state_->addresses_[state_->nextAddress_++ % state_->addresses_.size()];
    request.method_ = spec_.method_;
    request.target_ = spec_.target_;
    request.body_ = spec_.body_;
    request.silenceTimeout_ = spec_.maxSilence_;
    request.headers_ = { { "Content-Type", "application/json" },
                         { "Authorization", "Bearer " + spec_.token_ } };
    if (!spec_.idempotencyKey_.empty()) {
      request.headers_.emplace_back("Idempotency-Key", spec_.idempotencyKey_);
    }
    state_->client_.Start(request, Callbacks());
  }

  HttpCallbacks Callbacks()
  {
    HttpCallbacks callbacks;
    callbacks.onHead_ =
      [self = shared_from_this()](int aStatus, const HttpHeaders& aHeaders) {
        self->result_.status_ = aStatus;
        self->retryAfter_ = FindHeader(aHeaders, "Retry-After");
      };
    callbacks.onData_ = [self = shared_from_this()](std::string_view aData) {
      self->HandleData(aData);
    };
    callbacks.onEnd_ = [self = shared_from_this()](HttpEnd aEnd) {
      self->HandleEnd(aEnd);
    };
    return callbacks;
  }

  void HandleData(std::string_view aData)
  {
    const MonotonicTime now = Now();
    if (result_.firstByte_ == Duration(0)) {
      result_.firstByte_ = now - start_;
    }
    if (!spec_.isStream_ || result_.status_ != 200) {
      body_ += aData;
      return;
    }
    std::vector<std::string> events;
    parser_.Feed(aData, events);
    for (const std::string& event : events) {
      if (event == "[DONE]") {
        hasDoneEvent_ = true;
      } else {
        HandleEvent(event, now);
      }
    }
  }

  void HandleEvent(const std::string& aEvent, MonotonicTime aNow)
  {
    if (!spec_.keepsText_) {
      if (aEvent.find(kEmptyText) == std::string::npos) {
        CountToken(aNow);
      }
      return;
    }
    const json body = json::parse(aEvent, nullptr, false);
    if (!body.is_object() || !body.contains("choices")) {
      return;
    }
    const std::string text = body["choices"][0].value("text", "");
    if (text.empty()) {
      return;
    }
    CountToken(aNow);
    result_.text_ += text;
  }

  void CountToken(MonotonicTime aNow)
  {
    if (result_.tokens_ != 0) {
      result_.tokenGaps_.push_back(aNow - lastToken_);
    }
    lastToken_ = aNow;
    ++result_.tokens_;
  }

  void HandleEnd(HttpEnd aEnd)
  {
    const bool isComplete = aEnd == HttpEnd::Complete &&
                            result_.status_ >= 200 && result_.status_ < 300 &&
                            (hasDoneEvent_ || !spec_.isStream_);
    if (isComplete) {
      if (!spec_.isStream_) {
        result_.text_ = body_;
      }
      Finish(CallEnd::Completed);
      return;
    }
    const CallEnd end = ClassifyEnd(aEnd);
    const bool mayRetry = !spec_.idempotencyKey_.empty() &&
                          result_.attempts_ < spec_.maxAttempts_ &&
                          (aEnd != HttpEnd::Complete ||
                           result_.status_ == 503 || result_.status_ == 429);
    if (!mayRetry) {
      Finish(end);
      return;
    }
    const Duration delay = retryAfter_.empty()
                             ? kRetryDelay
                             : Duration(std::chrono::seconds(
                                 std::max(1, std::atoi(retryAfter_.c_str()))));
    state_->loop_.CallAfter(
      delay, [self = shared_from_this()] { self->StartAttempt(); });
  }

  CallEnd ClassifyEnd(HttpEnd aEnd) const
  {
    if (aEnd == HttpEnd::NotConnected) {
      return CallEnd::NotRun;
    }
    const json body = json::parse(body_, nullptr, false);
    if (!body.is_object() || !body.contains("error") ||
        !body["error"].is_object()) {
      return aEnd == HttpEnd::Complete ? CallEnd::Failed : CallEnd::Unknown;
    }
    const std::string ran = body["error"].value("ran", "unknown");
    if (ran == "not_run") {
      return CallEnd::NotRun;
    }
    return ran == "ran" ? CallEnd::Failed : CallEnd::Unknown;
  }

  void Finish(CallEnd aEnd)
  {
    result_.end_ = aEnd;
    result_.totalTime_ = Now() - start_;
    const auto onResult = std::move(onResult_);
    onResult(std::move(result_));
  }
};

} // namespace

Caller::Caller(EventLoop& aLoop, std::vector<Address> aAddresses)
  : state_(std::make_shared<State>(aLoop, std::move(aAddresses)))
{
}

void
Caller::Start(CallSpec aSpec, std::function<void(CallResult)> aOnResult)
{
  auto call = std::make_shared<Call>();
  call->state_ = state_;
  call->spec_ = std::move(aSpec);
  call->onResult_ = std::move(aOnResult);
  call->start_ = call->Now();
  call->StartAttempt();
}

void
Caller::RefreshAddresses()
{
  HttpClientRequest request;
  request.address_ = state_->addresses_.front();
  request.target_ = "/v1/addresses";
  state_->client_.Fetch(
    request, [weak = std::weak_ptr<State>(state_)](HttpClientReply aReply) {
      const auto state = weak.lock();
      const json body = json::parse(aReply.body_, nullptr, false);
      if (state == nullptr || !body.is_object() ||
          !body.contains("addresses")) {
        return;
      }
      std::vector<Address> addresses;
      for (const json& entry : body["addresses"]) {
        addresses.push_back(ParseAddress(entry.value("address", "")));
      }
      if (!addresses.empty()) {
        state->addresses_ = std::move(addresses);
      }
    });
}

} // namespace sycamoreward::load
