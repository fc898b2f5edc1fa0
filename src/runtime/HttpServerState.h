#pragma once

// State that an HttpServer shares with its exchanges.

#include "runtime/EventLoop.h"
#include "runtime/HttpServer.h"
#include "runtime/ReceiveTimeout.h"

#include <memory>
#include <set>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;

namespace sycamoreward {

class ServerExchange;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  explicit State(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  EventLoop& loop_;
  HttpServerOptions options_;
  Handler handler_;
  evhttp* http_ = nullptr;
  evhttp_bound_socket* listener_ = nullptr;
  Address bound_;
  bool isAccepting_ = true;
  // Open exchanges. They are aborted when the server is destroyed first.
  std::set<ServerExchange*> open_;
  // Connections closed by Abort that are not freed yet.
  std::set<evhttp_connection*> pendingFree_;
  // Connections with a complete reply that is not written out yet.
  std::set<evhttp_connection*> unsent_;
  std::unique_ptr<ReceiveTimeout> receiveTimeout_;
};

} // namespace sycamoreward
