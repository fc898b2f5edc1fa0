#include "runtime/ClientCall.h"

#include "runtime/SocketState.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace sycamoreward {

namespace {

evhttp_cmd_type
ToEvhttp(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return EVHTTP_REQ_GET;
    case HttpMethod::Post:
      return EVHTTP_REQ_POST;
    case HttpMethod::Put:
      return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
      return EVHTTP_REQ_DELETE;
    case HttpMethod::Head:
      return EVHTTP_REQ_HEAD;
    case HttpMethod::Patch:
      return EVHTTP_REQ_PATCH;
    case HttpMethod::Options:
      return EVHTTP_REQ_OPTIONS;
  }
  return EVHTTP_REQ_GET;
}

HttpHeaders
ReadHeaders(evhttp_request* aRequest)
{
  HttpHeaders headers;
  for (evkeyval* field = evhttp_request_get_input_headers(aRequest)->tqh_first;
       field != nullptr;
       field = field->next.tqe_next) {
    headers.emplace_back(field->key, field->value);
  }
  return headers;
}

// Whether aStatus is the status of a final reply. evhttp takes any number other
// than 0, and ends a reply at an interim status other than 100.
bool
IsFinalStatus(int aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

// Whether a reply with aStatus reports a failure. Such a reply is of use even
// if its text is cut.
bool
IsFailure(int aStatus)
{
  return aStatus >= 400;
}

constexpr short kPeerClosed = BEV_EVENT_READING | BEV_EVENT_EOF;

} // namespace

void
ClientCall::Begin()
{
  const auto state = state_.lock();
  connection_ = state->Connect(request_.address_, request_.mayReuseConnection_);
  wasConnected_ = IsConnected();
  evhttp_request* request = evhttp_request_new(
    [](evhttp_request* aDone, void* aSelf) {
      static_cast<ClientCall*>(aSelf)->HandleDone(aDone);
    },
    this);
  evhttp_request_set_header_cb(request, [](evhttp_request* aHead, void* aSelf) {
    static_cast<ClientCall*>(aSelf)->HandleHead(aHead);
    return 0;
  });
  evhttp_request_set_chunked_cb(
    request, [](evhttp_request* aPart, void* aSelf) {
      static_cast<ClientCall*>(aSelf)->HandleData(aPart);
    });
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  evhttp_add_header(output, "Host", ToString(request_.address_).c_str());
  for (const auto& [name, value] : request_.headers_) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               request_.body_.data(),
               request_.body_.size());
  lastByte_ = state->loop_.GetClock().Now();
  ArmSilenceTimer(wasConnected_ ? request_.silenceTimeout_
                                : request_.connectTimeout_);
  // On failure evhttp has freed the request.
  if (evhttp_make_request(connection_,
                          request,
                          ToEvhttp(request_.method_),
                          request_.target_.c_str()) != 0) {
    Finish(HttpEnd::NotConnected, false);
  }
}

void
ClientCall::Cancel()
{
  if (isDone_) {
    return;
  }
  callbacks_ = {};
  Finish(HttpEnd::Broken, false);
}

void
ClientCall::PauseReading()
{
  if (isDone_ || isPaused_) {
    return;
  }
  isPaused_ = true;
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_), EV_READ);
}

void
ClientCall::ResumeReading()
{
  if (isDone_ || !isPaused_) {
    return;
  }
  isPaused_ = false;
  if (const auto state = state_.lock()) {
    lastByte_ = state->loop_.GetClock().Now();
  }
  bufferevent_enable(evhttp_connection_get_bufferevent(connection_), EV_READ);
}

evhttp_connection*
ClientCall::Detach()
{
  isDone_ = true;
  if (const auto state = state_.lock()) {
    CancelTimers(state->loop_);
  }
  StopWatchingClosing();
  evhttp_connection* connection = connection_;
  connection_ = nullptr;
  return connection;
}

bool
ClientCall::IsConnected() const
{
  const int fd =
    bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  if (fd < 0) {
    return false;
  }
  sockaddr_storage peer{};
  socklen_t length = sizeof peer;
  return getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
}

void
ClientCall::MarkConnected()
{
  wasConnected_ = true;
  if (const auto state = state_.lock()) {
    lastByte_ = state->loop_.GetClock().Now();
  }
}

void
ClientCall::HandleHead(evhttp_request* aRequest)
{
  if (isDone_) {
    return;
  }
  MarkConnected();
  hasHead_ = true;
  const int status = evhttp_request_get_response_code(aRequest);
  if (!IsFinalStatus(status)) {
    Finish(HttpEnd::Broken, false);
    return;
  }
  const HttpHeaders headers = ReadHeaders(aRequest);
  const bool endsWithConnection =
    FindHeader(headers, "Content-Length").empty() &&
    FindHeader(headers, "Transfer-Encoding").empty();
  if (endsWithConnection && !IsFailure(status)) {
    WatchClosing();
  }
  if (callbacks_.onHead_) {
    callbacks_.onHead_(status, headers);
  }
}

void
ClientCall::WatchClosing()
{
  bufferevent* transport = evhttp_connection_get_bufferevent(connection_);
  bufferevent_getcb(transport,
                    &evhttpOnRead_,
                    &evhttpOnWrite_,
                    &evhttpOnEvent_,
                    &evhttpArgument_);
  bufferevent_setcb(
    transport,
    [](bufferevent* aTransport, void* aSelf) {
      const auto* self = static_cast<ClientCall*>(aSelf);
      self->evhttpOnRead_(aTransport, self->evhttpArgument_);
    },
    [](bufferevent* aTransport, void* aSelf) {
      const auto* self = static_cast<ClientCall*>(aSelf);
      self->evhttpOnWrite_(aTransport, self->evhttpArgument_);
    },
    [](bufferevent* aTransport, short aWhat, void* aSelf) {
      auto* self = static_cast<ClientCall*>(aSelf);
      if (aWhat == kPeerClosed && !self->isDone_) {
        self->CheckClosing();
      } else {
        self->evhttpOnEvent_(aTransport, aWhat, self->evhttpArgument_);
      }
    },
    this);
}

void
ClientCall::StopWatchingClosing()
{
  if (evhttpOnEvent_ == nullptr || connection_ == nullptr) {
    return;
  }
  bufferevent* transport = evhttp_connection_get_bufferevent(connection_);
  void* argument = nullptr;
  bufferevent_getcb(transport, nullptr, nullptr, nullptr, &argument);
  // evhttp sets its callbacks again by itself when it begins a request.
  if (argument == this) {
    bufferevent_setcb(transport,
                      evhttpOnRead_,
                      evhttpOnWrite_,
                      evhttpOnEvent_,
                      evhttpArgument_);
  }
}

void
ClientCall::CheckClosing()
{
  const auto state = state_.lock();
  if (state == nullptr || isDone_) {
    return;
  }
  bufferevent* transport = evhttp_connection_get_bufferevent(connection_);
  const int socket = bufferevent_getfd(transport);
  closing_.requestBytes_ = request_.body_.size();
  closing_.hasFailed_ = closing_.hasFailed_ || TakeSocketError(socket);
  closing_.unacknowledgedBytes_ =
    evbuffer_get_length(bufferevent_get_output(transport)) +
    UnacknowledgedBytes(socket);
  switch (sycamoreward::CheckClosing(closing_, state->loop_.GetClock().Now())) {
    case ClosingResult::Complete:
      evhttpOnEvent_(transport, kPeerClosed, evhttpArgument_);
      return;
    case ClosingResult::Truncated:
      Finish(HttpEnd::Broken, false);
      return;
    case ClosingResult::Pending:
      break;
  }
  closingTimer_ = state->loop_.CallAfter(kClosingCheckInterval, [this] {
    closingTimer_ = 0;
    CheckClosing();
  });
}

void
ClientCall::CancelTimers(EventLoop& aLoop)
{
  aLoop.CancelTimer(silenceTimer_);
  aLoop.CancelTimer(closingTimer_);
}

void
ClientCall::HandleData(evhttp_request* aRequest)
{
  MarkConnected();
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  const std::size_t length = evbuffer_get_length(input);
  if (length == 0 || isDone_) {
    return;
  }
  const char* data =
    reinterpret_cast<const char*>(evbuffer_pullup(input, ev_ssize_t(length)));
  if (callbacks_.onData_) {
    callbacks_.onData_(std::string_view(data, length));
  }
}

void
ClientCall::HandleDone(evhttp_request* aRequest)
{
  if (isDone_) {
    return;
  }
  if (aRequest == nullptr) {
    // The connection broke during the call. The server may have received the
    // request even if no reply has begun.
    Finish(HttpEnd::Broken, false);
    return;
  }
  const int status = evhttp_request_get_response_code(aRequest);
  if (!IsFinalStatus(status)) {
    // evhttp reports a refused connection as a reply without a status, 0.
    Finish(wasConnected_ ? HttpEnd::Broken : HttpEnd::NotConnected, false);
    return;
  }
  if (!hasHead_) {
    HandleHead(aRequest);
  }
  HandleData(aRequest);
  const std::string connectionField =
    FindHeader(ReadHeaders(aRequest), "Connection");
  // A faulty server may write a refusal twice, and answers carry nothing that
  // tells a copy from the answer to the next request.
  constexpr int kFirstErrorStatus = 400;
  Finish(HttpEnd::Complete,
         connectionField != "close" && status < kFirstErrorStatus);
}

void
ClientCall::ArmSilenceTimer(Duration aDelay)
{
  if (const auto state = state_.lock()) {
    silenceTimer_ = state->loop_.CallAfter(aDelay, [this] { CheckSilence(); });
  }
}

void
ClientCall::CheckSilence()
{
  const auto state = state_.lock();
  if (state == nullptr || isDone_) {
    return;
  }
  const MonotonicTime now = state->loop_.GetClock().Now();
  if (!wasConnected_ && IsConnected()) {
    // Connected, but the server has not answered yet.
    wasConnected_ = true;
  }
  if (!wasConnected_) {
    Finish(HttpEnd::NotConnected, false);
    return;
  }
  const Duration silentTime = now - lastByte_;
  if (silentTime >= request_.silenceTimeout_ && !isPaused_) {
    Finish(HttpEnd::Silent, false);
    return;
  }
  ArmSilenceTimer(isPaused_ ? request_.silenceTimeout_
                            : request_.silenceTimeout_ - silentTime);
}

void
ClientCall::Finish(HttpEnd aEnd, bool aIsReusable)
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  const auto state = state_.lock();
  if (state == nullptr) {
    return;
  }
  CancelTimers(state->loop_);
  const auto keepAlive = state->running_.find(this);
  const std::shared_ptr<ClientCall> self =
    keepAlive != state->running_.end() ? keepAlive->second : nullptr;
  state->running_.erase(this);
  StopWatchingClosing();
  evhttp_connection* connection = connection_;
  connection_ = nullptr;
  if (aIsReusable && !isPaused_) {
    state->Release(request_.address_, connection);
  } else if (connection != nullptr) {
    // A call that is cancelled before Begin has no connection.
    state->FreeLater(connection);
  }
  if (callbacks_.onEnd_) {
    const auto onEnd = std::move(callbacks_.onEnd_);
    onEnd(aEnd);
  }
  callbacks_ = {};
}

} // namespace sycamoreward
