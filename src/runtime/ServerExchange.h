#pragma once

// Implements an exchange of HttpServer by one exchange of http::CallerServer.

#include "runtime/HttpServer.h"
#include "runtime/HttpServerState.h"

#include <functional>
#include <memory>

namespace sycamoreward {

class ServerExchange final
  : public HttpExchange
  , public std::enable_shared_from_this<ServerExchange>
{
public:
  // Takes the body out of aExchange. Throws UserError if the target or the
  // method can't be used.
  ServerExchange(const std::shared_ptr<HttpServer::State>& aState,
                 std::shared_ptr<http::CallerExchange> aExchange);
  ~ServerExchange() override;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  // Observes the connection. Must be called once, after the object is owned by
  // a shared_ptr.
  void Start();

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
  bool MayRunFor(const WorkspaceId& aWorkspace) override;
  bool HoldMore(std::size_t aBytes) override;
  std::shared_ptr<const void> Charge() const override;

private:
  // Gives up the connection, because the reply is complete or the connection
  // has ended.
  void Detach();

  // Empty if the exchange outlives the server.
  std::weak_ptr<HttpServer::State> state_;
  // Null once the reply is complete or the connection has ended.
  std::shared_ptr<http::CallerExchange> exchange_;
  std::shared_ptr<const ClientCharge> charge_;
  HttpServerRequest parsed_;
  bool isGone_ = false;
  std::function<void()> onDrained_;
  std::function<void()> onCallerGone_;
};

// Replies to a request that has no exchange, because its target or method can't
// be used.
void
ReplyInvalidRequest(http::CallerExchange& aExchange, const std::string& aBody);

} // namespace sycamoreward
