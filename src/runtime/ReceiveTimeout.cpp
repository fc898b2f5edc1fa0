#include "runtime/ReceiveTimeout.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/socket.h>

namespace sycamoreward {

ReceiveTimeout::ReceiveTimeout(Clock& aClock, Duration aTimeout)
  : clock_(aClock)
  , timeout_(aTimeout)
{
}

void
ReceiveTimeout::Watch(evhttp* aServer)
{
  evhttp_set_bevcb(aServer, &ReceiveTimeout::MakeTransport, this);
}

void
ReceiveTimeout::OnRequestReceived(evhttp_request* aRequest)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  const auto found = arrivals_.find(
    bufferevent_get_input(evhttp_connection_get_bufferevent(connection)));
  if (found != arrivals_.end()) {
    found->second.since_.reset();
  }
}

bufferevent*
ReceiveTimeout::MakeTransport(event_base* aBase, void* aSelf)
{
  bufferevent* transport = bufferevent_socket_new(aBase, -1, 0);
  if (transport != nullptr) {
    evbuffer* input = bufferevent_get_input(transport);
    evbuffer_add_cb(input, &ReceiveTimeout::OnInput, aSelf);
    static_cast<ReceiveTimeout*>(aSelf)->arrivals_[input] =
      Arrival{ transport, std::nullopt };
  }
  return transport;
}

// A connection that sends nothing is closed by the idle timeout, so it is
// enough to check the time when data arrives.
void
ReceiveTimeout::OnInput(evbuffer* aInput,
                        const evbuffer_cb_info* aInfo,
                        void* aSelf)
{
  auto* self = static_cast<ReceiveTimeout*>(aSelf);
  const auto found = self->arrivals_.find(aInput);
  if (aInfo->n_added == 0 || found == self->arrivals_.end()) {
    return;
  }
  Arrival& arrival = found->second;
  const MonotonicTime now = self->clock_.Now();
  if (!arrival.since_) {
    arrival.since_ = now;
  } else if (now - *arrival.since_ > self->timeout_) {
    shutdown(bufferevent_getfd(arrival.transport_), SHUT_RDWR);
  }
}

} // namespace sycamoreward
