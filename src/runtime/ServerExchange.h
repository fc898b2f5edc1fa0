#pragma once

// Implements an exchange of HttpServer by one evhttp request.

#include "runtime/HttpServer.h"
#include "runtime/HttpServerState.h"

#include <functional>
#include <memory>
#include <optional>

struct event;
struct evhttp_request;

namespace sycamoreward {

class ServerExchange final : public HttpExchange
{
public:
  ServerExchange(const std::shared_ptr<HttpServer::State>& aState,
                 evhttp_request* aRequest);
  ~ServerExchange() override;

  const HttpServerRequest& Request() const override { return parsed_; }
  void Reply(int aStatus,
             const HttpHeaders& aHeaders,
             std::string_view aBody) override;
  void StartReply(int aStatus, const HttpHeaders& aHeaders) override;
  void SendChunk(std::string_view aData) override;
  void EndReply() override;
  void Abort() override;
  Bytes BufferedBytes() const override;
  void OnDrained(std::function<void()> aCallback) override
  {
    onDrained_ = std::move(aCallback);
  }
  void OnCallerGone(std::function<void()> aCallback) override
  {
    onCallerGone_ = std::move(aCallback);
  }
  bool IsCallerGone() const override { return isGone_; }

  // Gives up the request, because it belongs to evhttp again or its connection
  // is being closed.
  void Detach();

private:
  void AddHeaders(const HttpHeaders& aHeaders);
  void Finish();
  bool MayWriteDirectly(MonotonicTime aNow) const;
  bool WriteDirectly(std::string_view aData);
  void FinishWithReply();
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aSelf);

  // Empty if the exchange outlives the server.
  std::weak_ptr<HttpServer::State> state_;
  // Null once the reply is complete or the connection has ended.
  evhttp_request* request_;
  event* closedEvent_ = nullptr;
  HttpServerRequest parsed_;
  bool isStarted_ = false;
  bool isGone_ = false;
  // When the last chunk was sent through evhttp, which registers the drain
  // callback.
  std::optional<MonotonicTime> lastEvhttpChunk_;
  std::function<void()> onDrained_;
  std::function<void()> onCallerGone_;
};

} // namespace sycamoreward
