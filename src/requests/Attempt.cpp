#include "requests/Attempt.h"

namespace sycamoreward {

Attempt::Attempt(EventLoop& aLoop,
                 HttpClient& aClient,
                 HttpClientRequest aRequest,
                 Duration aMaxGap,
                 AttemptCallbacks aCallbacks)
  : loop_(aLoop)
  , client_(aClient)
  , request_(std::move(aRequest))
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
  call_ = client_.Start(request_, std::move(callbacks));
}

void
Attempt::Cancel()
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  loop_.CancelTimer(gapTimer_);
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
