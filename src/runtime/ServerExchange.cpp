#include "runtime/ServerExchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace sycamoreward {

namespace {

// Interval after which a chunk is sent through evhttp again, because evhttp
// measures the idle time of a connection from the last chunk that it sent.
constexpr std::chrono::seconds kEvhttpInterval{ 1 };

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

} // namespace

ServerExchange::ServerExchange(const std::shared_ptr<HttpServer::State>& aState,
                               evhttp_request* aRequest)
  : state_(aState)
  , request_(aRequest)
  , parsed_(ReadRequest(aRequest))
{
  aState->open_.insert(this);
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  evhttp_connection_set_closecb(
    connection, &ServerExchange::OnConnectionClosed, this);
  // evhttp stops reading while a request is handled, so without this event it
  // would detect a disconnected caller only when a write fails.
  bufferevent* transport = evhttp_connection_get_bufferevent(connection);
  closedEvent_ = event_new(
    aState->loop_.Base(),
    bufferevent_getfd(transport),
    EV_CLOSED,
    [](evutil_socket_t, short, void* aSelf) {
      auto* self = static_cast<ServerExchange*>(aSelf);
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

ServerExchange::~ServerExchange()
{
  Abort();
}

void
ServerExchange::OnConnectionClosed(evhttp_connection* /*aConnection*/,
                                   void* aSelf)
{
  auto* self = static_cast<ServerExchange*>(aSelf);
  self->isGone_ = true;
  // evhttp frees a request with its connection, except when the connection
  // fails while the request is being handled. It then detaches the request from
  // the connection, and the handler must free it.
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
ServerExchange::Detach()
{
  if (closedEvent_ != nullptr) {
    event_free(closedEvent_);
    closedEvent_ = nullptr;
  }
  request_ = nullptr;
  if (const auto state = state_.lock()) {
    state->open_.erase(this);
    // A callback that owns this exchange would keep it alive forever. The
    // callback may be running now, so it is destroyed later.
    state->loop_.Post(
      [drained = std::move(onDrained_), gone = std::move(onCallerGone_)] {});
    onDrained_ = nullptr;
    onCallerGone_ = nullptr;
  }
}

void
ServerExchange::AddHeaders(const HttpHeaders& aHeaders)
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

// Gives the request back to evhttp, which owns it once the reply is complete.
void
ServerExchange::Finish()
{
  if (evhttp_connection* connection = evhttp_request_get_connection(request_)) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  Detach();
}

// Counts the connection as unsent until evhttp has written the reply or closed
// the connection. An instance that exits earlier would truncate the reply.
void
ServerExchange::FinishWithReply()
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
ServerExchange::Reply(int aStatus,
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
ServerExchange::StartReply(int aStatus, const HttpHeaders& aHeaders)
{
  if (request_ == nullptr) {
    return;
  }
  AddHeaders(aHeaders);
  isStarted_ = true;
  evhttp_send_reply_start(request_, aStatus, ReasonPhrase(aStatus));
}

void
ServerExchange::SendChunk(std::string_view aData)
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
      auto* self = static_cast<ServerExchange*>(aSelf);
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
ServerExchange::MayWriteDirectly(MonotonicTime aNow) const
{
  return request_->chunked != 0 && lastEvhttpChunk_ &&
         aNow - *lastEvhttpChunk_ < kEvhttpInterval &&
         BufferedBytes().Value() == 0;
}

// Writes a chunk directly to the socket. evhttp would copy it into three
// buffers and wait for the next iteration of the loop. Bytes that the socket
// does not accept go to the output buffer of the connection. Returns false if
// nothing was written.
bool
ServerExchange::WriteDirectly(std::string_view aData)
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
ServerExchange::EndReply()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_request* request = request_;
  FinishWithReply();
  evhttp_send_reply_end(request);
}

void
ServerExchange::Abort()
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
  // The connection is freed later because it may be in use on the call stack.
  // The socket is shut down now, so that the reply can't be completed.
  bufferevent* transport = evhttp_connection_get_bufferevent(connection);
  bufferevent_disable(transport, EV_READ | EV_WRITE);
  shutdown(bufferevent_getfd(transport), SHUT_RDWR);
  state->pendingFree_.insert(connection);
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection* aClosed, void* aState) {
      static_cast<HttpServer::State*>(aState)->pendingFree_.erase(aClosed);
    },
    state.get());
  state->loop_.Post([connection, weak = state_] {
    const auto alive = weak.lock();
    if (alive != nullptr && alive->pendingFree_.erase(connection) != 0) {
      evhttp_connection_free(connection);
    }
  });
}

Bytes
ServerExchange::BufferedBytes() const
{
  if (request_ == nullptr) {
    return Bytes(0);
  }
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  return Bytes(evbuffer_get_length(
    bufferevent_get_output(evhttp_connection_get_bufferevent(connection))));
}

} // namespace sycamoreward
