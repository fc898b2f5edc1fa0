#include "runtime/ReceiveLimit.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/socket.h>

namespace sycamoreward {

ReceiveLimit::ReceiveLimit(Clock& aClock, Duration aLimit)
  : clock_(aClock)
  , limit_(aLimit)
{
}

void
ReceiveLimit::Watch(evhttp* aServer)
{
  evhttp_set_bevcb(aServer, &ReceiveLimit::MakeTransport, this);
}

void
ReceiveLimit::Received(evhttp_request* aRequest)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  const auto found = arrivals_.find(
    bufferevent_get_input(evhttp_connection_get_bufferevent(connection)));
  if (found != arrivals_.end()) {
    found->second.since_.reset();
  }
}

bufferevent*
ReceiveLimit::MakeTransport(event_base* aBase, void* aSelf)
{
  bufferevent* transport = bufferevent_socket_new(aBase, -1, 0);
  if (transport != nullptr) {
    evbuffer* input = bufferevent_get_input(transport);
    evbuffer_add_cb(input, &ReceiveLimit::OnInput, aSelf);
    static_cast<ReceiveLimit*>(aSelf)->arrivals_[input] =
      Arrival{ transport, std::nullopt };
  }
  return transport;
}

// A connection that sends nothing ends by the idle timeout, so it is enough to
// look when data arrives.
void
ReceiveLimit::OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf)
{
  auto* self = static_cast<ReceiveLimit*>(aSelf);
  const auto found = self->arrivals_.find(aInput);
  if (aInfo->n_added == 0 || found == self->arrivals_.end()) {
    return;
  }
  Arrival& arrival = found->second;
  const MonotonicTime now = self->clock_.Now();
  if (!arrival.since_) {
    arrival.since_ = now;
  } else if (now - *arrival.since_ > self->limit_) {
    shutdown(bufferevent_getfd(arrival.transport_), SHUT_RDWR);
  }
}

} // namespace sycamoreward
