#include "http/Channel.h"

#include "peer/SocketAddress.h"
#include "runtime/EventLoop.h"
#include "runtime/SocketState.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace sycamoreward::http {

namespace {

// How long a closing connection waits for the peer to read further bytes, and
// after the last one for the peer to close its side.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// A connection ends when sent bytes stay unacknowledged or keep-alive probes
// unanswered for this time. Without it, a connection to an instance that lost
// power would hang.
constexpr int kUserTimeoutMs = 3000;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // An unsupported option only delays the detection of a lost peer.
  (void)setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

void
SetSocketOptions(int aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace

Channel::Channel(EventLoop& aLoop, bufferevent* aEvent)
  : loop_(aLoop)
  , event_(aEvent)
  , callbacks_(std::make_shared<const Callbacks>())
{
  bufferevent_setcb(
    event_,
    [](bufferevent*, void* aSelf) {
      const auto self = static_cast<Channel*>(aSelf)->shared_from_this();
      if (self->isLingering_) {
        evbuffer* input = bufferevent_get_input(self->event_);
        evbuffer_drain(input, evbuffer_get_length(input));
      } else if (const auto callbacks = self->callbacks_; callbacks->onData_) {
        callbacks->onData_();
      }
    },
    [](bufferevent*, void* aSelf) {
      const auto self = static_cast<Channel*>(aSelf)->shared_from_this();
      if (self->isLingering_) {
        shutdown(bufferevent_getfd(self->event_), SHUT_WR);
      } else if (const auto callbacks = self->callbacks_;
                 callbacks->onFlushed_) {
        callbacks->onFlushed_();
      }
    },
    [](bufferevent*, short aWhat, void* aSelf) {
      static_cast<Channel*>(aSelf)->HandleEvent(aWhat);
    },
    this);
}

std::shared_ptr<Channel>
Channel::Connect(EventLoop& aLoop, const Address& aAddress)
{
  sockaddr_storage storage{};
  const socklen_t length = FillSocketAddress(aAddress, storage);
  const int descriptor =
    socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bufferevent* event =
    bufferevent_socket_new(aLoop.Base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
  std::shared_ptr<Channel> channel(new Channel(aLoop, event));
  bool isStarted = false;
  if (descriptor >= 0) {
    SetSocketOptions(descriptor);
    isStarted =
      bufferevent_socket_connect(
        event, reinterpret_cast<sockaddr*>(&storage), int(length)) == 0;
  }
  if (isStarted) {
    bufferevent_enable(event, EV_READ | EV_WRITE);
  } else {
    // Reported later, so that the caller can set its callbacks first.
    aLoop.Post([weak = std::weak_ptr<Channel>(channel)] {
      if (const auto self = weak.lock()) {
        self->HandleEvent(BEV_EVENT_ERROR);
      }
    });
  }
  return channel;
}

std::shared_ptr<Channel>
Channel::Accept(EventLoop& aLoop, int aSocket)
{
  SetSocketOptions(aSocket);
  bufferevent* event =
    bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  std::shared_ptr<Channel> channel(new Channel(aLoop, event));
  channel->isConnected_ = true;
  bufferevent_enable(event, EV_READ | EV_WRITE);
  return channel;
}

Channel::~Channel()
{
  // The timer would have kept the object.
  lingerTimer_ = 0;
  Release();
}

void
Channel::SetCallbacks(Callbacks aCallbacks)
{
  callbacks_ = std::make_shared<const Callbacks>(std::move(aCallbacks));
}

void
Channel::Release()
{
  isClosed_ = true;
  isLingering_ = false;
  if (event_ == nullptr) {
    return;
  }
  std::shared_ptr<Channel> self;
  if (lingerTimer_ != 0) {
    // The timer may hold the last reference to this object.
    self = shared_from_this();
    loop_.CancelTimer(std::exchange(lingerTimer_, 0));
  }
  bufferevent_free(event_);
  event_ = nullptr;
  if (const auto onReleased = std::exchange(onReleased_, nullptr)) {
    onReleased();
  }
}

void
Channel::HandleEvent(short aWhat)
{
  const auto self = shared_from_this();
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    isConnected_ = true;
    if (const auto callbacks = callbacks_; callbacks->onConnected_) {
      callbacks->onConnected_();
    }
    return;
  }
  hasFailed_ = hasFailed_ || (aWhat & BEV_EVENT_EOF) == 0;
  if (isLingering_) {
    Release();
    return;
  }
  if (isClosed_) {
    return;
  }
  isClosed_ = true;
  if (const auto callbacks = callbacks_; callbacks->onClosed_) {
    callbacks->onClosed_((aWhat & BEV_EVENT_EOF) == 0);
  }
}

std::string_view
Channel::Peek(std::size_t aMaxBytes)
{
  if (event_ == nullptr) {
    return {};
  }
  evbuffer* input = bufferevent_get_input(event_);
  const std::size_t count = std::min(aMaxBytes, evbuffer_get_length(input));
  if (count == 0) {
    return {};
  }
  const unsigned char* bytes = evbuffer_pullup(input, ev_ssize_t(count));
  return { reinterpret_cast<const char*>(bytes), count };
}

std::size_t
Channel::Unread() const
{
  return event_ == nullptr ? 0
                           : evbuffer_get_length(bufferevent_get_input(event_));
}

void
Channel::Consume(std::size_t aCount)
{
  if (event_ != nullptr) {
    evbuffer_drain(bufferevent_get_input(event_), aCount);
  }
}

void
Channel::Write(std::string_view aBytes)
{
  if (event_ != nullptr && !aBytes.empty()) {
    bufferevent_write(event_, aBytes.data(), aBytes.size());
  }
}

void
Channel::WriteShared(std::string_view aBytes,
                     std::shared_ptr<const void> aOwner)
{
  if (event_ == nullptr || aBytes.empty()) {
    return;
  }
  using Owner = std::shared_ptr<const void>;
  evbuffer_add_reference(
    bufferevent_get_output(event_),
    aBytes.data(),
    aBytes.size(),
    [](const void*, size_t, void* aHeld) { delete static_cast<Owner*>(aHeld); },
    new Owner(std::move(aOwner)));
}

std::size_t
Channel::Unsent() const
{
  return event_ == nullptr
           ? 0
           : evbuffer_get_length(bufferevent_get_output(event_));
}

std::size_t
Channel::Unacknowledged() const
{
  return event_ == nullptr
           ? 0
           : Unsent() + UnacknowledgedBytes(bufferevent_getfd(event_));
}

bool
Channel::HasFailed()
{
  hasFailed_ = hasFailed_ || (event_ != nullptr &&
                              TakeSocketError(bufferevent_getfd(event_)));
  return hasFailed_;
}

void
Channel::PauseReading()
{
  if (event_ != nullptr) {
    bufferevent_disable(event_, EV_READ);
  }
}

void
Channel::ResumeReading()
{
  if (event_ != nullptr) {
    bufferevent_enable(event_, EV_READ);
  }
}

void
Channel::CloseAfterFlush()
{
  SetCallbacks({});
  if (event_ == nullptr) {
    return;
  }
  if (isClosed_) {
    Release();
    return;
  }
  isClosed_ = true;
  isLingering_ = true;
  ResumeReading();
  evbuffer* input = bufferevent_get_input(event_);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (Unsent() == 0) {
    shutdown(bufferevent_getfd(event_), SHUT_WR);
  }
  Linger();
}

void
Channel::Linger()
{
  lingerBytes_ = Unacknowledged();
  lingerTimer_ = loop_.CallAfter(kLingerTime, [self = shared_from_this()] {
    self->lingerTimer_ = 0;
    // The answer is complete, but its reader may be slow.
    if (self->Unacknowledged() < self->lingerBytes_) {
      self->Linger();
    } else {
      self->Release();
    }
  });
}

void
Channel::CloseNow(std::string_view aBytes)
{
  SetCallbacks({});
  if (event_ == nullptr) {
    return;
  }
  if (Unsent() == 0 && !aBytes.empty()) {
    (void)send(bufferevent_getfd(event_),
               aBytes.data(),
               aBytes.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  Release();
}

void
Channel::Reset()
{
  SetCallbacks({});
  if (event_ == nullptr) {
    return;
  }
  const linger cut{ 1, 0 };
  (void)setsockopt(
    bufferevent_getfd(event_), SOL_SOCKET, SO_LINGER, &cut, sizeof cut);
  Release();
}

} // namespace sycamoreward::http
