#pragma once

// HTTP server for callers and operators, on one event loop. It adds parsed
// targets and shared exchanges to http::CallerServer.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "http/CallerServer.h"
#include "runtime/Http.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sycamoreward {

class EventLoop;

struct HttpServerOptions
{
  // With port 0 the system chooses a port.
  Address listen_{ "127.0.0.1", 0 };
  Bytes maxHeaderSize_{ 64 * 1024 };
  Bytes maxBodySize_{ 8 * 1024 * 1024 };
  // Copies of the body that handling a request makes.
  std::size_t bodyCopies_ = 1;
  // Maximum time between two requests of a connection.
  std::chrono::seconds idleTimeout_{ 60 };
  // Maximum time from the first to the last byte of a request.
  std::chrono::seconds maxReceiveTime_{ 120 };
  // An exchange is aborted when more bytes than this wait to be sent; see
  // HttpExchange::BufferedBytes.
  Bytes maxReplyBuffer_{ 4 * 1024 * 1024 };
  http::PortUse use_ = http::PortUse::Requests;
};

struct HttpServerRequest
{
  HttpMethod method_ = HttpMethod::Get;
  // Path without query, still percent-encoded.
  std::string path_;
  // Path and query as received.
  std::string target_;
  // Decoded query parameters.
  std::map<std::string, std::string> query_;
  HttpHeaders headers_;
  std::string body_;
};

// One request and its reply. The handler holds it until it has replied. If the
// last reference is dropped without a complete reply, the connection is closed.
// Calls have no effect after the caller has disconnected.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpServerRequest& Request() const = 0;

  // Sends a complete reply.
  virtual void Reply(int aStatus,
                     const HttpHeaders& aHeaders,
                     std::string_view aBody) = 0;

  // Sends a reply in chunks: StartReply once, SendChunk any number of times,
  // EndReply once.
  virtual void StartReply(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void SendChunk(std::string_view aData) = 0;
  virtual void EndReply() = 0;

  // Closes the connection, so that the caller can tell that the reply is
  // incomplete.
  virtual void Abort() = 0;

  // Bytes passed to SendChunk that were not handed to the operating system yet.
  // A sender should stop reading its source while this is high.
  virtual Bytes BufferedBytes() const = 0;

  // Calls aCallback each time the reply buffer has been flushed.
  virtual void OnDrained(std::function<void()> aCallback) = 0;

  // Calls aCallback once when the caller disconnects.
  virtual void OnCallerGone(std::function<void()> aCallback) = 0;

  virtual bool IsCallerGone() const = 0;

  // Counts the request for aWorkspace. Returns false if the workspace holds too
  // much already; the request should be refused then.
  virtual bool MayRunFor(const WorkspaceId& /*aWorkspace*/) { return true; }

  // Counts further memory of the request. Returns false if it does not fit
  // beside what all callers hold; the request should be refused then.
  virtual bool HoldMore(std::size_t /*aBytes*/) { return true; }

  // Accounts for the request as long as the returned object is kept. Needed if
  // the request goes on after its caller has left. May be null.
  virtual std::shared_ptr<const void> Charge() const { return nullptr; }
};

class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  // aClients is shared by all ports of the process; without it, nothing bounds
  // what all callers hold together. Throws InternalError when the address can't
  // be bound. An exception thrown by aHandler is answered with status 400
  // (UserError) or 500 (others).
  HttpServer(EventLoop& aLoop,
             HttpServerOptions aOptions,
             Handler aHandler,
             std::shared_ptr<ClientAccounts> aClients = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The address in use, with the port that the system chose.
  const Address& BoundAddress() const;

  // The number of exchanges without a complete reply.
  std::size_t OpenExchanges() const;

  // The number of connections with a complete reply that is not written out
  // yet.
  std::size_t UnsentReplies() const;

  // Closes the listening socket. Open exchanges continue, and each connection
  // is closed after its next reply.
  void StopAccepting();

  // Defined in HttpServerState.h.
  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
