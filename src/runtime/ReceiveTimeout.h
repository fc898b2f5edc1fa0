#pragma once

// Cuts connections of an HTTP server whose request takes too long to arrive.

#include "base/Clock.h"

#include <map>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp;
struct evhttp_request;

namespace sycamoreward {

class ReceiveTimeout
{
public:
  // aTimeout is the longest time from the first byte of a request to its last.
  ReceiveTimeout(Clock& aClock, Duration aTimeout);
  ReceiveTimeout(const ReceiveTimeout&) = delete;
  ReceiveTimeout& operator=(const ReceiveTimeout&) = delete;

  // Watches the connections that aServer accepts. This object must outlive
  // them.
  void Watch(evhttp* aServer);

  // A request has arrived whole.
  void OnRequestReceived(evhttp_request* aRequest);

private:
  struct Arrival
  {
    bufferevent* transport_ = nullptr;
    // When the first byte of the request arrived; empty between requests.
    std::optional<MonotonicTime> since_;
  };

  static bufferevent* MakeTransport(event_base* aBase, void* aSelf);
  static void OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf);

  Clock& clock_;
  Duration timeout_;
  // By the input buffer of the connection. The entry of a closed connection
  // stays until its address is in use again, so there are at most as many as
  // there were connections at a time.
  std::map<evbuffer*, Arrival> arrivals_;
};

} // namespace sycamoreward
