#pragma once

// A TCP connection on an event loop with buffered reads and writes.

#include "base/Address.h"
#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
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
    // A connection started by Connect is established.
    std::function<void()> onConnected_;
    // Data arrived; see Peek and Consume.
    std::function<void()> onData_;
    // All written bytes were handed to the operating system.
    std::function<void()> onFlushed_;
    // The peer closed the connection or the connection failed. Called once.
    // aWasReset is false if the peer closed it regularly; the channel may still
    // be able to write in that case.
    std::function<void(bool aWasReset)> onClosed_;
  };

  // Starts connecting to aAddress. A failure is reported by onClosed_ later.
  static std::shared_ptr<Channel> Connect(EventLoop& aLoop,
                                          const Address& aAddress);
  // Wraps an accepted socket and takes ownership of it.
  static std::shared_ptr<Channel> Accept(EventLoop& aLoop, int aSocket);

  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void SetCallbacks(Callbacks aCallbacks);

  // Returns up to aMaxBytes received but unconsumed bytes as one contiguous
  // view. The view is valid until the next call.
  std::string_view Peek(std::size_t aMaxBytes);
  // Received bytes that were not consumed.
  std::size_t Unread() const;
  void Consume(std::size_t aCount);

  // Queues aBytes for sending. Has no effect after the connection was released.
  void Write(std::string_view aBytes);
  // The same without a copy. aOwner keeps the bytes until they were sent.
  void WriteShared(std::string_view aBytes, std::shared_ptr<const void> aOwner);
  // Written bytes that were not handed to the operating system yet.
  std::size_t Unsent() const;
  // Written bytes that the peer's system has not acknowledged, including unsent
  // ones.
  std::size_t Unacknowledged() const;
  // Whether the connection has failed or was reset. After the peer has closed
  // its side, a reset is reported here only.
  bool HasFailed();

  // While reading is paused, neither data nor the close of the connection is
  // reported.
  void PauseReading();
  void ResumeReading();

  bool IsClosed() const { return isClosed_; }
  // Whether the descriptor was closed.
  bool IsReleased() const { return event_ == nullptr; }
  bool IsConnected() const { return isConnected_; }

  // Closes the connection once the written bytes were sent and the peer has
  // closed its side, or when the peer has taken none of them for kLingerTime.
  // No callback is called afterwards.
  void CloseAfterFlush();

  // Passes aBytes to the system as far as it takes them and closes the
  // connection. Its descriptor is free afterwards. No callback is called
  // afterwards.
  void CloseNow(std::string_view aBytes);

  // Closes the connection immediately with a TCP reset. No callback is called
  // afterwards.
  void Reset();

  // Calls aCallback once, when the descriptor was closed. It is called after
  // CloseAfterFlush, CloseNow and Reset too.
  void OnReleased(std::function<void()> aCallback)
  {
    onReleased_ = std::move(aCallback);
  }

private:
  Channel(EventLoop& aLoop, bufferevent* aEvent);
  void HandleEvent(short aWhat);
  void Linger();
  void Release();

  EventLoop& loop_;
  bufferevent* event_;
  // Shared, so that a running callback may replace the callbacks.
  std::shared_ptr<const Callbacks> callbacks_;
  bool isConnected_ = false;
  bool isClosed_ = false;
  bool hasFailed_ = false;
  bool isLingering_ = false;
  std::uint64_t lingerTimer_ = 0;
  // Unacknowledged bytes when the last linger time began.
  std::size_t lingerBytes_ = 0;
  std::function<void()> onReleased_;
};

} // namespace sycamoreward::http
