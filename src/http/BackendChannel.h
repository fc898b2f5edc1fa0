#pragma once

// An HTTP connection to a backend server that carries one request at a time.

#include "base/Clock.h"
#include "http/BodyDecoder.h"
#include "http/Channel.h"
#include "http/Head.h"
#include "runtime/ClosingCheck.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::http {

// Why a request got no complete answer.
enum class ChannelFailure
{
  // The connection was not established, so nothing was sent.
  NotConnected,
  // The connection ended before the answer began.
  NoAnswer,
  // The connection ended before the answer was complete.
  TruncatedAnswer,
  // The received bytes are not a valid HTTP response.
  MalformedAnswer
};

const char*
ToText(ChannelFailure aFailure);

class BackendChannel : public std::enable_shared_from_this<BackendChannel>
{
public:
  struct Callbacks
  {
    // Returns whether a response belongs to the current request. Other
    // responses are read to their end and discarded, because a server may
    // answer an earlier request late.
    std::function<bool(const ResponseHead& aHead)> matchesRequest_;
    std::function<void(ResponseHead aHead, const Framing& aFraming)> onHead_;
    std::function<void(std::string_view aBytes)> onBody_;
    // The answer is complete. The channel can take another request if
    // CanReuse() returns true. An answer that ends with its connection is not
    // complete if the server resets the connection before it has received the
    // whole request.
    std::function<void()> onEnd_;
    std::function<void(ChannelFailure aFailure)> onFailed_;
  };

  BackendChannel(EventLoop& aLoop, const Address& aAddress);

  // Registers the callbacks of the connection. Must be called once, after the
  // object is owned by a shared_ptr and before Send.
  void SetUp();

  ~BackendChannel();

  // Sends a request. aMethod determines whether the answer has a body. A large
  // body is not copied if aBodyOwner keeps it.
  void Send(std::string aMethod,
            std::string aHead,
            std::string_view aBody,
            Callbacks aCallbacks,
            const std::shared_ptr<const void>& aBodyOwner = nullptr);

  // Whether the channel is idle and its connection can carry another request.
  bool CanReuse() const;
  // Whether bytes may have left this process.
  bool IsConnected() const { return channel_->IsConnected(); }
  // Time until which the idle connection may be reused: shortly before the
  // server closes it.
  MonotonicTime ReusableUntil() const { return reusableUntil_; }
  // Sets the callback for the end of the connection while it is idle.
  void OnIdleEnd(std::function<void()> aCallback)
  {
    onIdleEnd_ = std::move(aCallback);
  }

  void PauseReading() { channel_->PauseReading(); }
  void ResumeReading() { channel_->ResumeReading(); }

  // Resets the connection. No callback is called afterwards.
  void Cut();

private:
  enum class State
  {
    Idle,
    Head,
    Body,
    // Discards the body of an answer to another request.
    SkippedBody,
    // The server has closed its side, which ends the answer unless it turns out
    // that the server has reset the connection.
    Closing,
    Ended
  };

  void Read();
  bool ReadHead();
  bool ReadBody();
  // Counts bytes that do not belong to the answer. Above their limit, fails the
  // request and returns false.
  bool CountForeign(std::size_t aBytes);
  void HandleClosed(bool aWasReset);
  // Decides in State::Closing whether the answer is complete, or looks again
  // later.
  void CheckClosing();
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
  ClosingState closing_;
  std::uint64_t closingTimer_ = 0;
  // Bytes of interim answers and of answers to other requests since Send.
  std::size_t foreignBytes_ = 0;
  bool isReusable_ = true;
  MonotonicTime reusableUntil_;
};

} // namespace sycamoreward::http
