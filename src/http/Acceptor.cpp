#include "http/Acceptor.h"

#include "base/Error.h"
#include "limits/ClientBounds.h"
#include "peer/SocketAddress.h"
#include "runtime/EventLoop.h"

#include <event2/listener.h>
#include <sys/socket.h>

namespace sycamoreward::http {

namespace {

// Maximum number of connections that wait to be accepted. A full queue delays
// callers by seconds, so this is as large as the system allows.
constexpr int kBacklog = 4096;
// Pause after a failure to accept. The listening socket stays readable, so that
// the loop would do nothing else.
constexpr Duration kFailurePause = std::chrono::milliseconds(50);

} // namespace

Acceptor::Acceptor(EventLoop& aLoop,
                   const Address& aAddress,
                   std::function<void(int aSocket)> aOnSocket,
                   std::function<void()> aOnFailure)
  : loop_(aLoop)
  , address_(aAddress)
  , onSocket_(std::move(aOnSocket))
  , onFailure_(std::move(aOnFailure))
{
  sockaddr_storage storage{};
  const socklen_t length = FillSocketAddress(aAddress, storage);
  listener_ = evconnlistener_new_bind(
    aLoop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<Acceptor*>(aSelf)->onSocket_(aSocket);
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
    kBacklog,
    reinterpret_cast<sockaddr*>(&storage),
    int(length));
  if (listener_ == nullptr) {
    throw InternalError("listen",
                        ToString(aAddress),
                        "Can't listen on " + ToString(aAddress) + ".");
  }
  evconnlistener_set_error_cb(listener_, [](evconnlistener*, void* aSelf) {
    static_cast<Acceptor*>(aSelf)->PauseAfterFailure();
  });
  const int descriptor = evconnlistener_get_fd(listener_);
  // Accepted sockets inherit this option.
  (void)setsockopt(descriptor,
                   SOL_SOCKET,
                   SO_RCVBUF,
                   &kClientReceiveBuffer,
                   sizeof kClientReceiveBuffer);
  address_.port_ = BoundPort(descriptor);
}

Acceptor::~Acceptor()
{
  loop_.CancelTimer(timer_);
  evconnlistener_free(listener_);
}

void
Acceptor::PauseAfterFailure()
{
  evconnlistener_disable(listener_);
  timer_ = loop_.CallAfter(kFailurePause,
                           [this] { evconnlistener_enable(listener_); });
  if (onFailure_) {
    onFailure_();
  }
}

} // namespace sycamoreward::http
