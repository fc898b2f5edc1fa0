#include "runtime/HttpServer.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"
#include "runtime/ReceiveLimit.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/uio.h>
#include <unistd.h>

#include <arpa/inet.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <optional>
#include <set>

namespace sycamoreward {

namespace {

constexpr int kListenBacklog = 1024;

// A chunk goes through evhttp at least this often, because evhttp counts the
// idle time of a connection from the last one.
constexpr std::chrono::seconds kEvhttpInterval{ 1 };

constexpr ev_uint16_t kAllowedMethods =
  EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
  EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

HttpMethod
FromEvhttp(evhttp_cmd_type aCommand)
{
  switch (aCommand) {
    case EVHTTP_REQ_POST:
      return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
      return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::Delete;
    case EVHTTP_REQ_HEAD:
      return HttpMethod::Head;
    case EVHTTP_REQ_PATCH:
      return HttpMethod::Patch;
    case EVHTTP_REQ_OPTIONS:
      return HttpMethod::Options;
    default:
      return HttpMethod::Get;
  }
}

std::string
TakeBuffer(evbuffer* aBuffer)
{
  std::string text(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, text.data(), text.size());
  return text;
}

HttpServerRequest
ReadRequest(evhttp_request* aRequest)
{
  HttpServerRequest request;
  request.method_ = FromEvhttp(evhttp_request_get_command(aRequest));
  request.target_ = evhttp_request_get_uri(aRequest);
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  if (uri != nullptr && evhttp_uri_get_path(uri) != nullptr) {
    request.path_ = evhttp_uri_get_path(uri);
    if (evhttp_uri_get_query(uri) != nullptr) {
      evkeyvalq fields;
      if (evhttp_parse_query_str(evhttp_uri_get_query(uri), &fields) == 0) {
        for (evkeyval* field = fields.tqh_first; field != nullptr;
             field = field->next.tqe_next) {
          request.query_[field->key] = field->value;
        }
      }
      evhttp_clear_headers(&fields);
    }
  }
  for (evkeyval* field = evhttp_request_get_input_headers(aRequest)->tqh_first;
       field != nullptr;
       field = field->next.tqe_next) {
    request.headers_.emplace_back(field->key, field->value);
  }
  request.body_ = TakeBuffer(evhttp_request_get_input_buffer(aRequest));
  char* ip = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(
    evhttp_request_get_connection(aRequest), &ip, &port);
  request.peer_ = Address{ ip != nullptr ? ip : "", port };
  return request;
}

int
BindListener(const Address& aAddress)
{
  const bool isV6 = aAddress.ip_.find(':') != std::string::npos;
  const int fd = socket(
    isV6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // Accepted sockets inherit this. Without it each small chunk of a stream can
  // wait 40 ms for a delayed acknowledgement.
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_storage storage{};
  socklen_t length = 0;
  if (isV6) {
    auto* address = reinterpret_cast<sockaddr_in6*>(&storage);
    address->sin6_family = AF_INET6;
    address->sin6_port = htons(aAddress.port_);
    inet_pton(AF_INET6, aAddress.ip_.c_str(), &address->sin6_addr);
    length = sizeof *address;
  } else {
    auto* address = reinterpret_cast<sockaddr_in*>(&storage);
    address->sin_family = AF_INET;
    address->sin_port = htons(aAddress.port_);
    inet_pton(AF_INET, aAddress.ip_.c_str(), &address->sin_addr);
    length = sizeof *address;
  }
  if (bind(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    close(fd);
    throw InternalError("bind",
                        ToString(aAddress),
                        "Can't listen on " + ToString(aAddress) + ": " +
                          reason + ".");
  }
  return fd;
}

std::uint16_t
PortOf(int aFd)
{
  sockaddr_storage storage{};
  socklen_t length = sizeof storage;
  getsockname(aFd, reinterpret_cast<sockaddr*>(&storage), &length);
  return ntohs(storage.ss_family == AF_INET6
                 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                 : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

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

class Exchange;

} // namespace

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
  // Open exchanges. They are detached when the server goes away first.
  std::set<Exchange*> open_;
  // Connections cut by Abort that evhttp has not freed yet.
  std::set<evhttp_connection*> doomed_;
  // Connections with a complete reply that is not written out yet.
  std::set<evhttp_connection*> unsent_;
  std::unique_ptr<ReceiveLimit> receiveLimit_;
};

namespace {

class Exchange final : public HttpExchange
{
public:
  Exchange(const std::shared_ptr<HttpServer::State>& aState,
           evhttp_request* aRequest);
  ~Exchange() override;

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

  // The connection or the server is going away; the request must not be used
  // any more.
  void Detach();

private:
  void AddHeaders(const HttpHeaders& aHeaders);
  void Finish();
  bool MayWriteDirectly(MonotonicTime aNow) const;
  bool WriteDirectly(std::string_view aData);
  void FinishWithReply();
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aSelf);

  // An exchange outlives the connection only as an empty shell.
  std::weak_ptr<HttpServer::State> state_;
  evhttp_request* request_;
  event* closedEvent_ = nullptr;
  HttpServerRequest parsed_;
  bool isStarted_ = false;
  bool isGone_ = false;
  // Last chunk that went through evhttp, which then has the drain callback.
  std::optional<MonotonicTime> lastEvhttpChunk_;
  std::function<void()> onDrained_;
  std::function<void()> onCallerGone_;
};

Exchange::Exchange(const std::shared_ptr<HttpServer::State>& aState,
                   evhttp_request* aRequest)
  : state_(aState)
  , request_(aRequest)
  , parsed_(ReadRequest(aRequest))
{
  aState->open_.insert(this);
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  evhttp_connection_set_closecb(
    connection, &Exchange::OnConnectionClosed, this);
  // evhttp stops reading while a request is handled, so it would not see that
  // the caller has closed until a write fails.
  bufferevent* transport = evhttp_connection_get_bufferevent(connection);
  closedEvent_ = event_new(
    aState->loop_.Base(),
    bufferevent_getfd(transport),
    EV_CLOSED,
    [](evutil_socket_t, short, void* aSelf) {
      auto* self = static_cast<Exchange*>(aSelf);
      self->isGone_ = true;
      if (self->onCallerGone_) {
        auto callback = std::move(self->onCallerGone_);
        self->onCallerGone_ = nullptr;
        callback();
      }
    },
    this);
  event_add(closedEvent_, nullptr);
}

Exchange::~Exchange()
{
  Abort();
}

void
Exchange::OnConnectionClosed(evhttp_connection* /*aConnection*/, void* aSelf)
{
  auto* self = static_cast<Exchange*>(aSelf);
  self->isGone_ = true;
  // evhttp frees a request with its connection, but for one whose connection
  // failed while the request was handled: it takes that one off the connection
  // and leaves it to the handler.
  if (self->request_ != nullptr &&
      evhttp_request_get_connection(self->request_) == nullptr) {
    evhttp_request_free(self->request_);
  }
  auto callback = std::move(self->onCallerGone_);
  self->onCallerGone_ = nullptr;
  self->Detach();
  if (callback) {
    callback();
  }
}

void
Exchange::Detach()
{
  if (closedEvent_ != nullptr) {
    event_free(closedEvent_);
    closedEvent_ = nullptr;
  }
  request_ = nullptr;
  if (const auto state = state_.lock()) {
    state->open_.erase(this);
    // A callback that holds this exchange would keep it for ever. It may be
    // running now, so it is destroyed later.
    state->loop_.Post(
      [drained = std::move(onDrained_), gone = std::move(onCallerGone_)] {});
    onDrained_ = nullptr;
    onCallerGone_ = nullptr;
  }
}

void
Exchange::AddHeaders(const HttpHeaders& aHeaders)
{
  evkeyvalq* output = evhttp_request_get_output_headers(request_);
  for (const auto& [name, value] : aHeaders) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
  const auto state = state_.lock();
  if (state != nullptr && !state->isAccepting_) {
    evhttp_add_header(output, "Connection", "close");
  }
}

// After the last byte is handed over the request belongs to evhttp again.
void
Exchange::Finish()
{
  if (evhttp_connection* connection = evhttp_request_get_connection(request_)) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  Detach();
}

// The connection counts as unsent until evhttp has written the reply or closed
// it: an instance that ends before would cut the tail of the reply.
void
Exchange::FinishWithReply()
{
  evhttp_request* request = request_;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  const auto state = state_.lock();
  Finish();
  if (connection == nullptr || state == nullptr) {
    return;
  }
  state->unsent_.insert(connection);
  evhttp_request_set_on_complete_cb(
    request,
    [](evhttp_request* aRequest, void* aState) {
      static_cast<HttpServer::State*>(aState)->unsent_.erase(
        evhttp_request_get_connection(aRequest));
    },
    state.get());
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection* aClosed, void* aState) {
      static_cast<HttpServer::State*>(aState)->unsent_.erase(aClosed);
    },
    state.get());
}

void
Exchange::Reply(int aStatus,
                const HttpHeaders& aHeaders,
                std::string_view aBody)
{
  if (request_ == nullptr) {
    return;
  }
  AddHeaders(aHeaders);
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aBody.data(), aBody.size());
  evhttp_request* request = request_;
  FinishWithReply();
  evhttp_send_reply(request, aStatus, ReasonPhrase(aStatus), body);
  evbuffer_free(body);
}

void
Exchange::StartReply(int aStatus, const HttpHeaders& aHeaders)
{
  if (request_ == nullptr) {
    return;
  }
  AddHeaders(aHeaders);
  isStarted_ = true;
  evhttp_send_reply_start(request_, aStatus, ReasonPhrase(aStatus));
}

void
Exchange::SendChunk(std::string_view aData)
{
  if (request_ == nullptr || aData.empty()) {
    return;
  }
  const auto state = state_.lock();
  if (state == nullptr) {
    return;
  }
  const MonotonicTime now = state->loop_.GetClock().Now();
  if (MayWriteDirectly(now) && WriteDirectly(aData)) {
    return;
  }
  lastEvhttpChunk_ = now;
  evbuffer* chunk = evbuffer_new();
  evbuffer_add(chunk, aData.data(), aData.size());
  evhttp_send_reply_chunk_with_cb(
    request_,
    chunk,
    [](evhttp_connection*, void* aSelf) {
      auto* self = static_cast<Exchange*>(aSelf);
      if (self->onDrained_) {
        self->onDrained_();
      }
    },
    this);
  evbuffer_free(chunk);
  if (BufferedBytes() > state->options_.maxReplyBuffer_) {
    Abort();
  }
}

bool
Exchange::MayWriteDirectly(MonotonicTime aNow) const
{
  return request_->chunked != 0 && lastEvhttpChunk_ &&
         aNow - *lastEvhttpChunk_ < kEvhttpInterval &&
         BufferedBytes().Value() == 0;
}

// Writes a chunk to the socket without evhttp, which would copy it into three
// buffers and wait for another round of the loop. What the socket does not take
// follows through the connection's buffer. Returns false when nothing was
// written.
bool
Exchange::WriteDirectly(std::string_view aData)
{
  char head[24];
  const int headSize =
    std::snprintf(head, sizeof head, "%zx\r\n", aData.size());
  char end[] = "\r\n";
  iovec parts[] = { { head, std::size_t(headSize) },
                    { const_cast<char*>(aData.data()), aData.size() },
                    { end, 2 } };
  bufferevent* transport =
    evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
  const ssize_t count = writev(bufferevent_getfd(transport), parts, 3);
  if (count <= 0) {
    return false;
  }
  std::size_t written = std::size_t(count);
  for (const iovec& part : parts) {
    const std::size_t skipped = std::min(written, part.iov_len);
    written -= skipped;
    if (skipped < part.iov_len) {
      evbuffer_add(bufferevent_get_output(transport),
                   static_cast<const char*>(part.iov_base) + skipped,
                   part.iov_len - skipped);
    }
  }
  return true;
}

void
Exchange::EndReply()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_request* request = request_;
  FinishWithReply();
  evhttp_send_reply_end(request);
}

void
Exchange::Abort()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  Finish();
  const auto state = state_.lock();
  if (connection == nullptr || state == nullptr) {
    return;
  }
  // The connection may be on the call stack, so it is freed later. Shutting the
  // socket down now keeps buffered data from being followed by a proper end.
  bufferevent* transport = evhttp_connection_get_bufferevent(connection);
  bufferevent_disable(transport, EV_READ | EV_WRITE);
  shutdown(bufferevent_getfd(transport), SHUT_RDWR);
  state->doomed_.insert(connection);
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection* aClosed, void* aState) {
      static_cast<HttpServer::State*>(aState)->doomed_.erase(aClosed);
    },
    state.get());
  state->loop_.Post([connection, weak = state_] {
    const auto alive = weak.lock();
    if (alive != nullptr && alive->doomed_.erase(connection) != 0) {
      evhttp_connection_free(connection);
    }
  });
}

Bytes
Exchange::BufferedBytes() const
{
  if (request_ == nullptr) {
    return Bytes(0);
  }
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  return Bytes(evbuffer_get_length(
    bufferevent_get_output(evhttp_connection_get_bufferevent(connection))));
}

void
HandleRequest(evhttp_request* aRequest, void* aState)
{
  auto* state = static_cast<HttpServer::State*>(aState);
  state->receiveLimit_->Received(aRequest);
  auto exchange =
    std::make_shared<Exchange>(state->shared_from_this(), aRequest);
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
  state_->receiveLimit_ =
    std::make_unique<ReceiveLimit>(aLoop.GetClock(), options.maxReceiveTime_);
  state_->receiveLimit_->Watch(state_->http_);
  evhttp_set_gencb(state_->http_, &HandleRequest, state_.get());
  state_->listener_ = evhttp_accept_socket_with_handle(state_->http_, fd);
}

HttpServer::~HttpServer()
{
  const std::set<Exchange*> open = state_->open_;
  for (Exchange* exchange : open) {
    exchange->Abort();
  }
  // Connections queued for release by Abort are freed here with the others.
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
