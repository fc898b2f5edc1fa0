#pragma once

// One TCP connection on an event loop, with buffered reading and writing.

#include "base/Address.h"
#include "base/Clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::http {

class Channel : public std::enable_shared_from_this<Channel>
{
public:
  struct Callbacks
  {
    // The connection of Connect is established.
    std::function<void()> onConnected_;
    // Bytes arrived; see Peek and Consume.
    std::function<void()> onData_;
    // All written bytes were handed to the system.
    std::function<void()> onFlushed_;
    // The other side closed the connection, or it broke; called once. After a
    // clean end aWasReset is false. Writing may still be possible then.
    std::function<void(bool aWasReset)> onClosed_;
  };

  // Connects to aAddress; a failure is told by onClosed_ later.
  static std::shared_ptr<Channel> Connect(EventLoop& aLoop,
                                          const Address& aAddress);
  // Takes over an accepted socket.
  static std::shared_ptr<Channel> Accept(EventLoop& aLoop, int aSocket);

  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void SetCallbacks(Callbacks aCallbacks);

  // The received bytes that were not consumed, at most aMaxBytes of them in one
  // piece. Valid until the next call.
  std::string_view Peek(std::size_t aMaxBytes);
  std::size_t Unread() const;
  void Consume(std::size_t aCount);

  // Has no effect after the connection ended.
  void Write(std::string_view aBytes);
  std::size_t Unsent() const;

  // While reading is paused neither bytes nor the end are told.
  void PauseReading();
  void ResumeReading();

  bool IsClosed() const { return isClosed_; }
  bool IsConnected() const { return isConnected_; }

  // Closes after the written bytes were sent and the other side has closed, or
  // after kLingerTime. No callback is called any more.
  void CloseAfterFlush();

  // Cuts the connection at once, so that the other side sees a reset. No
  // callback is called any more.
  void Reset();

private:
  Channel(EventLoop& aLoop, bufferevent* aEvent);
  void HandleEvent(short aWhat);
  void Release();

  EventLoop& loop_;
  bufferevent* event_;
  // Shared, so that a callback may replace the callbacks while it runs.
  std::shared_ptr<const Callbacks> callbacks_;
  bool isConnected_ = false;
  bool isClosed_ = false;
  bool isLingering_ = false;
};

} // namespace sycamoreward::http
