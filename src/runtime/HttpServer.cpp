#include "runtime/HttpServer.h"

#include "base/Error.h"
#include "runtime/HttpServerState.h"
#include "runtime/Listener.h"
#include "runtime/ServerExchange.h"

#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

constexpr ev_uint16_t kAllowedMethods =
  EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
  EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

std::string
ErrorBody(const char* aCode, const std::string& aMessage)
{
  return nlohmann::json{
    { "error",
      { { "code", aCode },
        { "message", aMessage },
        { "step", "accept" },
        { "ran", "not_run" } } }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void
HandleRequest(evhttp_request* aRequest, void* aState)
{
  auto* state = static_cast<HttpServer::State*>(aState);
  state->receiveTimeout_->OnRequestReceived(aRequest);
  auto exchange =
    std::make_shared<ServerExchange>(state->shared_from_this(), aRequest);
  try {
    state->handler_(exchange);
  } catch (const UserError& error) {
    exchange->Reply(400,
                    { { "Content-Type", "application/json" } },
                    ErrorBody("invalid_request", error.what()));
  } catch (const std::exception& error) {
    exchange->Reply(500,
                    { { "Content-Type", "application/json" } },
                    ErrorBody("internal_error", error.what()));
  }
}

} // namespace

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpServerOptions aOptions,
                       Handler aHandler)
  : state_(std::make_shared<State>(aLoop))
{
  state_->options_ = std::move(aOptions);
  state_->handler_ = std::move(aHandler);
  const HttpServerOptions& options = state_->options_;
  const int fd = BindListener(options.listen_);
  state_->bound_ = Address{ options.listen_.ip_, PortOf(fd) };
  state_->http_ = evhttp_new(aLoop.Base());
  evhttp_set_max_headers_size(state_->http_,
                              ssize_t(options.maxHeaderSize_.Value()));
  evhttp_set_max_body_size(state_->http_,
                           ssize_t(options.maxBodySize_.Value()));
  evhttp_set_timeout(state_->http_, int(options.idleTimeout_.count()));
  evhttp_set_allowed_methods(state_->http_, kAllowedMethods);
  state_->receiveTimeout_ =
    std::make_unique<ReceiveTimeout>(aLoop.GetClock(), options.maxReceiveTime_);
  state_->receiveTimeout_->Watch(state_->http_);
  evhttp_set_gencb(state_->http_, &HandleRequest, state_.get());
  state_->listener_ = evhttp_accept_socket_with_handle(state_->http_, fd);
}

HttpServer::~HttpServer()
{
  const std::set<ServerExchange*> open = state_->open_;
  for (ServerExchange* exchange : open) {
    exchange->Abort();
  }
  // Also frees the connections that Abort queued for release.
  evhttp_free(state_->http_);
}

const Address&
HttpServer::BoundAddress() const
{
  return state_->bound_;
}

std::size_t
HttpServer::OpenExchanges() const
{
  return state_->open_.size();
}

std::size_t
HttpServer::UnsentReplies() const
{
  return state_->unsent_.size();
}

void
HttpServer::StopAccepting()
{
  if (!state_->isAccepting_) {
    return;
  }
  state_->isAccepting_ = false;
  evhttp_del_accept_socket(state_->http_, state_->listener_);
}

} // namespace sycamoreward
