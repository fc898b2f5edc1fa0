#include "requests/Attempt.h"

#include "requests/SilenceProbe.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);
// Added to the connect timeout, so that a call that is still connecting fails
// as not sent before it is treated as silent.
constexpr Duration kConnectMargin = std::chrono::milliseconds(50);

} // namespace

Attempt::Attempt(EventLoop& aLoop,
                 HttpClient& aClient,
                 HttpClientRequest aRequest,
                 Duration aMaxGap,
                 AttemptCallbacks aCallbacks)
  : loop_(aLoop)
  , client_(aClient)
  , request_(std::move(aRequest))
  , firstByteTimeout_(request_.silenceTimeout_)
  , maxGap_(aMaxGap)
  , callbacks_(std::move(aCallbacks))
{
}

void
Attempt::Start()
{
  // Each callback holds its own reference while it runs, because Cancel makes
  // the client drop the callbacks, including the running one.
  HttpCallbacks callbacks;
  callbacks.onHead_ = [self = shared_from_this()](int aStatus,
                                                  const HttpHeaders& aHeaders) {
    const auto running = self->shared_from_this();
    running->HandleHead(aStatus, aHeaders);
  };
  callbacks.onData_ = [self = shared_from_this()](std::string_view aData) {
    const auto running = self->shared_from_this();
    running->HandleData(aData);
  };
  callbacks.onEnd_ = [self = shared_from_this()](HttpEnd aEnd) {
    const auto running = self->shared_from_this();
    running->HandleEnd(aEnd);
  };
  // The attempt detects silence itself, so that it can probe the server. The
  // client's timeout is set beyond that as an upper bound.
  request_.silenceTimeout_ =
    (firstByteTimeout_ + kProbeTimeout) * (kMaxSilenceWaits + 2);
  call_ = client_.Start(request_, std::move(callbacks));
  lastData_ = loop_.GetClock().Now();
  ArmSilenceTimer(
    std::max(firstByteTimeout_, request_.connectTimeout_ + kConnectMargin));
}

void
Attempt::ArmSilenceTimer(Duration aDelay)
{
  silenceTimer_ = loop_.CallAfter(aDelay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->isDone_ || self->isEnded_) {
      return;
    }
    const MonotonicTime now = self->loop_.GetClock().Now();
    if (self->isPaused_) {
      self->lastData_ = now;
    }
    const Duration silent = now - self->lastData_;
    if (silent < self->firstByteTimeout_) {
      self->ArmSilenceTimer(self->firstByteTimeout_ - silent);
    } else {
      self->Probe();
    }
  });
}

void
Attempt::Probe()
{
  const MonotonicTime probeStart = loop_.GetClock().Now();
  ProbeServer(
    client_,
    request_.address_,
    kProbeTimeout,
    [weak = weak_from_this(), probeStart](const ProbeResult& aResult) {
      const auto self = weak.lock();
      if (self == nullptr || self->isDone_ || self->isEnded_ ||
          self->gapTimer_ != 0) {
        return;
      }
      const bool isStream = self->callbacks_.onEvents_ != nullptr;
      const bool isSilent = self->lastData_ < probeStart && !self->isPaused_;
      if (isSilent && DecideSilence(aResult, isStream, self->silenceWaits_) ==
                        SilenceAction::EndAttempt) {
        self->AbortCall(HttpEnd::Silent);
        return;
      }
      self->silenceWaits_ += isSilent ? 1 : 0;
      self->ArmSilenceTimer(self->firstByteTimeout_);
    });
}

void
Attempt::Cancel()
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  loop_.CancelTimer(gapTimer_);
  loop_.CancelTimer(silenceTimer_);
  if (call_ != nullptr && !isEnded_) {
    const auto call = std::move(call_);
    call->Cancel();
    // The client may be inside a callback of this call, so destruction is
    // deferred to the next loop iteration.
    loop_.Post([call] {});
  }
}

void
Attempt::SetPaused(bool aIsPaused)
{
  if (isPaused_ == aIsPaused) {
    return;
  }
  isPaused_ = aIsPaused;
  if (call_ != nullptr && !isEnded_) {
    aIsPaused ? call_->PauseReading() : call_->ResumeReading();
  }
  if (!aIsPaused) {
    lastData_ = loop_.GetClock().Now();
    PostFlush();
  }
}

void
Attempt::HandleHead(int aStatus, const HttpHeaders& aHeaders)
{
  reply_.status_ = aStatus;
  reply_.headers_ = aHeaders;
  isStream_ = aStatus == 200 && callbacks_.onEvents_ != nullptr;
}

void
Attempt::HandleData(std::string_view aData)
{
  if (isDone_ || isEnded_) {
    return;
  }
  if (!isStream_) {
    lastData_ = loop_.GetClock().Now();
    reply_.body_.append(aData);
    if (reply_.body_.size() > kMaxBodyBytes) {
      AbortCall(HttpEnd::Broken);
    }
    return;
  }
  std::vector<std::string> events;
  bool isValid = parser_.Feed(aData, events);
  for (const std::string& data : events) {
    auto event = ParseEngineEvent(data);
    if (!event) {
      isValid = false;
      break;
    }
    pending_.push_back(std::move(*event));
  }
  if (!isValid) {
    AbortCall(HttpEnd::Broken);
  }
  PostFlush();
  lastData_ = loop_.GetClock().Now();
  if (gapTimer_ == 0 && !events.empty() && !isEnded_) {
    loop_.CancelTimer(silenceTimer_);
    ArmGapTimer();
  }
}

void
Attempt::ArmGapTimer()
{
  const Duration silent = loop_.GetClock().Now() - lastData_;
  gapTimer_ = loop_.CallAfter(maxGap_ - silent, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->isDone_ || self->isEnded_) {
      return;
    }
    const MonotonicTime now = self->loop_.GetClock().Now();
    if (self->isPaused_) {
      self->lastData_ = now;
    }
    if (now - self->lastData_ >= self->maxGap_) {
      self->AbortCall(HttpEnd::Silent);
    } else {
      self->ArmGapTimer();
    }
  });
}

// Ends the attempt when the rest of the server's reply cannot be used.
void
Attempt::AbortCall(HttpEnd aEnd)
{
  const auto call = std::move(call_);
  HandleEnd(aEnd);
  if (call != nullptr) {
    call->Cancel();
    loop_.Post([call] {});
  }
}

void
Attempt::HandleEnd(HttpEnd aEnd)
{
  if (isDone_ || isEnded_) {
    return;
  }
  isEnded_ = true;
  loop_.CancelTimer(gapTimer_);
  loop_.CancelTimer(silenceTimer_);
  reply_.end_ = aEnd;
  call_.reset();
  PostFlush();
}

// evhttp reports each chunk separately. Events of all chunks from one read are
// delivered together after the read.
void
Attempt::PostFlush()
{
  if (isFlushPosted_) {
    return;
  }
  isFlushPosted_ = true;
  loop_.Post([self = shared_from_this()] {
    self->isFlushPosted_ = false;
    self->Flush();
  });
}

void
Attempt::Flush()
{
  if (isDone_ || isPaused_) {
    return;
  }
  if (!pending_.empty()) {
    std::vector<EngineEvent> events;
    events.swap(pending_);
    callbacks_.onEvents_(std::move(events));
  }
  if (isEnded_ && !isDone_ && !isPaused_) {
    isDone_ = true;
    callbacks_.onEnd_(std::move(reply_));
  }
}

} // namespace sycamoreward
