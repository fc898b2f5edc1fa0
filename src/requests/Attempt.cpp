#include "requests/Attempt.h"

#include "requests/SilenceProbe.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);
// A call that is still connecting ends by its own timeout as not sent, before
// it is taken for a silent one.
constexpr Duration kAfterConnect = std::chrono::milliseconds(50);

} // namespace

Attempt::Attempt(EventLoop& aLoop,
                 HttpClient& aClient,
                 HttpClientRequest aRequest,
                 Duration aMaxGap,
                 AttemptCallbacks aCallbacks)
  : loop_(aLoop)
  , client_(aClient)
  , request_(std::move(aRequest))
  , firstSilence_(request_.silenceTimeout_)
  , maxGap_(aMaxGap)
  , callbacks_(std::move(aCallbacks))
{
}

void
Attempt::Start()
{
  // Each callback holds a reference of its own while it runs: Cancel makes the
  // client drop the callbacks, this one included.
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
  // The attempt watches the silence itself, so that it can probe the server.
  // The client's timeout is a bound beyond it.
  request_.silenceTimeout_ =
    (firstSilence_ + kProbeTimeout) * (kMaxSilenceWaits + 2);
  call_ = client_.Start(request_, std::move(callbacks));
  lastData_ = loop_.GetClock().Now();
  WatchSilence(
    std::max(firstSilence_, request_.connectTimeout_ + kAfterConnect));
}

void
Attempt::WatchSilence(Duration aDelay)
{
  silenceTimer_ = loop_.CallAfter(aDelay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->isDone_ || self->isEnded_) {
      return;
    }
    const MonotonicTime now = self->loop_.GetClock().Now();
    if (self->isHeld_) {
      self->lastData_ = now;
    }
    const Duration silent = now - self->lastData_;
    if (silent < self->firstSilence_) {
      self->WatchSilence(self->firstSilence_ - silent);
    } else {
      self->Probe();
    }
  });
}

void
Attempt::Probe()
{
  const MonotonicTime asked = loop_.GetClock().Now();
  ProbeServer(client_,
              request_.address_,
              kProbeTimeout,
              [weak = weak_from_this(), asked](const ProbeResult& aResult) {
                const auto self = weak.lock();
                if (self == nullptr || self->isDone_ || self->isEnded_ ||
                    self->gapTimer_ != 0) {
                  return;
                }
                const bool isStream = self->callbacks_.onEvents_ != nullptr;
                const bool isSilent = self->lastData_ < asked && !self->isHeld_;
                if (isSilent &&
                    DecideSilence(aResult, isStream, self->silenceWaits_) ==
                      SilenceAction::Move) {
                  self->BreakOff(HttpEnd::Silent);
                  return;
                }
                self->silenceWaits_ += isSilent ? 1 : 0;
                self->WatchSilence(self->firstSilence_);
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
    // The client may be in the middle of a callback of this call.
    loop_.Post([call] {});
  }
}

void
Attempt::Hold(bool aIsHeld)
{
  if (isHeld_ == aIsHeld) {
    return;
  }
  isHeld_ = aIsHeld;
  if (call_ != nullptr && !isEnded_) {
    aIsHeld ? call_->PauseReading() : call_->ResumeReading();
  }
  if (!aIsHeld) {
    lastData_ = loop_.GetClock().Now();
    FlushLater();
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
    if (reply_.body_.size() > kMaxBody) {
      BreakOff(HttpEnd::Broken);
    }
    return;
  }
  std::vector<std::string> events;
  bool isGood = parser_.Feed(aData, events);
  for (const std::string& data : events) {
    auto event = ParseEngineEvent(data);
    if (!event) {
      isGood = false;
      break;
    }
    pending_.push_back(std::move(*event));
  }
  if (!isGood) {
    BreakOff(HttpEnd::Broken);
  }
  FlushLater();
  lastData_ = loop_.GetClock().Now();
  if (gapTimer_ == 0 && !events.empty() && !isEnded_) {
    loop_.CancelTimer(silenceTimer_);
    WatchGap();
  }
}

void
Attempt::WatchGap()
{
  const Duration silent = loop_.GetClock().Now() - lastData_;
  gapTimer_ = loop_.CallAfter(maxGap_ - silent, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->isDone_ || self->isEnded_) {
      return;
    }
    const MonotonicTime now = self->loop_.GetClock().Now();
    if (self->isHeld_) {
      self->lastData_ = now;
    }
    if (now - self->lastData_ >= self->maxGap_) {
      self->BreakOff(HttpEnd::Silent);
    } else {
      self->WatchGap();
    }
  });
}

// Ends the attempt because the rest of the server's reply can't be used.
void
Attempt::BreakOff(HttpEnd aEnd)
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
  FlushLater();
}

// evhttp reports each chunk on its own. Events of all chunks of one read are
// handed on together, after the read.
void
Attempt::FlushLater()
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
  if (isDone_ || isHeld_) {
    return;
  }
  if (!pending_.empty()) {
    std::vector<EngineEvent> events;
    events.swap(pending_);
    callbacks_.onEvents_(std::move(events));
  }
  if (isEnded_ && !isDone_ && !isHeld_) {
    isDone_ = true;
    callbacks_.onEnd_(std::move(reply_));
  }
}

} // namespace sycamoreward
