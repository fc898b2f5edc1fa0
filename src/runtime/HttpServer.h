#pragma once

// HTTP server over evhttp on one event loop.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Units.h"
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
  // Port 0 lets the system choose.
  Address listen_{ "127.0.0.1", 0 };
  Bytes maxHeaderSize_{ 64 * 1024 };
  Bytes maxBodySize_{ 8 * 1024 * 1024 };
  // Longest time without progress on reading a request or writing a reply.
  std::chrono::seconds idleTimeout_{ 60 };
  // Longest time from the first byte of a request to its last. Without it, a
  // caller that sends one byte within each idle timeout would hold its
  // connection for ever.
  std::chrono::seconds maxReceiveTime_{ 120 };
  // An exchange is cut when the peer leaves this much unread; see
  // HttpExchange::BufferedBytes.
  Bytes maxReplyBuffer_{ 4 * 1024 * 1024 };
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
  Address peer_;
};

// One request and its reply. Held by the handler until it has replied; when the
// last reference goes away without a complete reply, the connection is cut.
// Calls after the caller has gone have no effect.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpServerRequest& Request() const = 0;

  // Sends the whole reply.
  virtual void Reply(int aStatus,
                     const HttpHeaders& aHeaders,
                     std::string_view aBody) = 0;

  // Sends a reply in chunks: StartReply once, SendChunk any number of times,
  // EndReply once.
  virtual void StartReply(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void SendChunk(std::string_view aData) = 0;
  virtual void EndReply() = 0;

  // Cuts the connection, so that the caller can tell that the reply is not
  // complete.
  virtual void Abort() = 0;

  // Bytes handed to SendChunk that the peer has not taken yet. A sender stops
  // reading its source while this is high.
  virtual Bytes BufferedBytes() const = 0;

  // Calls aCallback each time the reply buffer has been written out.
  virtual void OnDrained(std::function<void()> aCallback) = 0;

  // Calls aCallback once when the caller has closed its connection.
  virtual void OnCallerGone(std::function<void()> aCallback) = 0;

  virtual bool IsCallerGone() const = 0;
};

class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  // Throws InternalError when the address can't be bound. An exception that
  // leaves aHandler becomes a 400 (UserError) or 500 reply.
  HttpServer(EventLoop& aLoop, HttpServerOptions aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The address in use, with the port that the system chose.
  const Address& BoundAddress() const;

  // Exchanges without a complete reply.
  std::size_t OpenExchanges() const;

  // Complete replies that their callers have not taken wholly yet.
  std::size_t UnsentReplies() const;

  // Closes the listening socket; open exchanges go on, and each reply from now
  // on closes its connection.
  void StopAccepting();

  // Opaque; defined beside the implementation.
  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
