#pragma once

// State that an HttpServer shares with its exchanges.

#include "http/CallerServer.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpServer.h"

#include <memory>
#include <set>

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
  std::unique_ptr<http::CallerServer> server_;
  Address bound_;
  // Open exchanges. They are aborted when the server is destroyed first.
  std::set<ServerExchange*> open_;
};

} // namespace sycamoreward
