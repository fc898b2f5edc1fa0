#include "runtime/HttpServer.h"

#include "base/Error.h"
#include "runtime/HttpServerState.h"
#include "runtime/ServerExchange.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

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

http::CallerLimits
LimitsOf(const HttpServerOptions& aOptions)
{
  http::CallerLimits limits;
  limits.headerBytes_ = aOptions.maxHeaderSize_.Value();
  limits.bodyBytes_ = aOptions.maxBodySize_.Value();
  limits.bodyCopies_ = aOptions.bodyCopies_;
  limits.requestTimeout_ = aOptions.maxReceiveTime_;
  limits.idleTimeout_ = aOptions.idleTimeout_;
  return limits;
}

void
HandleRequest(const std::shared_ptr<HttpServer::State>& aState,
              std::shared_ptr<http::CallerExchange> aExchange)
{
  std::shared_ptr<ServerExchange> exchange;
  try {
    exchange = std::make_shared<ServerExchange>(aState, aExchange);
  } catch (const UserError& error) {
    ReplyInvalidRequest(*aExchange, ErrorBody("invalid_request", error.what()));
    return;
  }
  exchange->Start();
  try {
    aState->handler_(exchange);
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
                       Handler aHandler,
                       std::shared_ptr<ClientAccounts> aClients)
  : state_(std::make_shared<State>(aLoop))
{
  state_->options_ = std::move(aOptions);
  state_->handler_ = std::move(aHandler);
  const std::weak_ptr<State> weak = state_;
  state_->server_ = std::make_unique<http::CallerServer>(
    aLoop,
    state_->options_.listen_,
    [weak](std::shared_ptr<http::CallerExchange> aExchange) {
      if (const auto state = weak.lock()) {
        HandleRequest(state, std::move(aExchange));
      }
    },
    std::move(aClients),
    state_->options_.use_);
  state_->server_->SetLimits(LimitsOf(state_->options_));
  state_->bound_ = state_->server_->BoundAddress();
}

HttpServer::~HttpServer()
{
  const std::set<ServerExchange*> open = state_->open_;
  for (ServerExchange* exchange : open) {
    exchange->Abort();
  }
  state_->server_.reset();
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
  return state_->server_->UnsentAnswers();
}

void
HttpServer::StopAccepting()
{
  state_->server_->StopListening();
  state_->server_->StartDrain();
}

} // namespace sycamoreward
