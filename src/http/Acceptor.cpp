#include "http/Acceptor.h"

#include "base/Error.h"
#include "peer/SocketAddress.h"
#include "runtime/EventLoop.h"

#include <event2/listener.h>

namespace sycamoreward::http {

namespace {

// Maximum number of connections that wait to be accepted. A full queue delays
// callers by seconds, so this is as large as the system allows.
constexpr int kBacklog = 4096;

} // namespace

Acceptor::Acceptor(EventLoop& aLoop,
                   const Address& aAddress,
                   std::function<void(int aSocket)> aOnSocket)
  : address_(aAddress)
  , onSocket_(std::move(aOnSocket))
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
  address_.port_ = BoundPort(evconnlistener_get_fd(listener_));
}

Acceptor::~Acceptor()
{
  evconnlistener_free(listener_);
}

} // namespace sycamoreward::http
