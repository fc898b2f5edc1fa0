#pragma once

// Closes connections of an HTTP server whose request takes too long to arrive.

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
  // aTimeout is the maximum time from the first to the last byte of a request.
  ReceiveTimeout(Clock& aClock, Duration aTimeout);
  ReceiveTimeout(const ReceiveTimeout&) = delete;
  ReceiveTimeout& operator=(const ReceiveTimeout&) = delete;

  // Monitors all connections that aServer accepts. This object must outlive
  // them.
  void Watch(evhttp* aServer);

  // Must be called when a request has arrived completely.
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
  // Keyed by the input buffer of the connection. The entry of a closed
  // connection remains until a new buffer has the same address, so the number
  // of entries is bounded by the maximum number of simultaneous connections.
  std::map<evbuffer*, Arrival> arrivals_;
};

} // namespace sycamoreward
