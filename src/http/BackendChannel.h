#pragma once

// A connection to a server, with one request at a time.

#include "base/Clock.h"
#include "http/BodyDecoder.h"
#include "http/Channel.h"
#include "http/Head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::http {

// Why no whole answer came.
enum class ChannelFailure
{
  // No connection was established: nothing was sent.
  NotConnected,
  // The connection ended before the answer began.
  NoAnswer,
  // The connection ended within the answer.
  TruncatedAnswer,
  // The bytes that came are no answer.
  MalformedAnswer
};

const char*
ToText(ChannelFailure aFailure);

class BackendChannel : public std::enable_shared_from_this<BackendChannel>
{
public:
  struct Callbacks
  {
    // Whether a head answers the current request. An answer that does not is
    // read to its end and dropped: servers may answer an earlier request late.
    std::function<bool(const ResponseHead& aHead)> matchesRequest_;
    std::function<void(ResponseHead aHead, const Framing& aFraming)> onHead_;
    std::function<void(std::string_view aBytes)> onBody_;
    // The answer is whole. The channel can take another request when
    // CanReuse() is true.
    std::function<void()> onEnd_;
    std::function<void(ChannelFailure aFailure)> onFailed_;
  };

  BackendChannel(EventLoop& aLoop, const Address& aAddress);

  void SetUp();

  // Sends a request; aMethod decides whether the answer has a body.
  void Send(std::string aMethod,
            std::string aHead,
            std::string_view aBody,
            Callbacks aCallbacks);

  // Whether the last answer ended in a way that leaves the connection clean.
  bool CanReuse() const;
  // Whether bytes may have left this process.
  bool IsConnected() const { return channel_->IsConnected(); }
  // Time until which the server keeps the idle connection.
  MonotonicTime ReusableUntil() const { return reusableUntil_; }
  // Called when an idle connection ends.
  void OnIdleEnd(std::function<void()> aCallback)
  {
    onIdleEnd_ = std::move(aCallback);
  }

  void PauseReading() { channel_->PauseReading(); }
  void ResumeReading() { channel_->ResumeReading(); }

  // Cuts the connection; no callback follows.
  void Cut();

private:
  enum class State
  {
    Idle,
    Head,
    Body,
    // The body of an answer to another request.
    SkippedBody,
    Ended
  };

  void Read();
  bool ReadHead();
  bool ReadBody();
  void HandleClosed(bool aWasReset);
  void Fail(ChannelFailure aFailure);
  void End();

  EventLoop& loop_;
  std::shared_ptr<Channel> channel_;
  std::shared_ptr<const Callbacks> callbacks_;
  std::function<void()> onIdleEnd_;
  State state_ = State::Idle;
  std::string method_;
  ResponseHead head_;
  Framing framing_;
  BodyDecoder body_;
  bool isReusable_ = true;
  MonotonicTime reusableUntil_;
};

} // namespace sycamoreward::http
