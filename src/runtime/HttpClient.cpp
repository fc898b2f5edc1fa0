#include "runtime/HttpClient.h"

#include "runtime/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <map>
#include <set>
#include <vector>

namespace sycamoreward {

namespace {

// Above any silence timeout, so that the timers here decide and not evhttp.
constexpr int kEvhttpTimeoutSeconds = 24 * 3600;

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

class Call;

} // namespace

const char*
ToString(HttpEnd aEnd)
{
  switch (aEnd) {
    case HttpEnd::Complete:
      return "complete";
    case HttpEnd::NotConnected:
      return "not connected";
    case HttpEnd::Broken:
      return "connection broken";
    case HttpEnd::Silent:
      return "connection silent";
  }
  return "";
}

struct HttpClient::State
{
  explicit State(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }
  ~State();

  evhttp_connection* Connect(const Address& aAddress, bool aMayReuse);
  void Release(const Address& aAddress, evhttp_connection* aConnection);
  void FreeLater(evhttp_connection* aConnection);
  void FreeDoomed();

  EventLoop& loop_;
  std::map<Address, std::vector<evhttp_connection*>> idle_;
  // Connections to free outside of evhttp's callbacks.
  std::vector<evhttp_connection*> doomed_;
  std::map<Call*, std::shared_ptr<Call>> running_;
  std::weak_ptr<State> self_;
  HttpClientTraffic traffic_;
};

namespace {

class Call final : public HttpCall
{
public:
  Call(std::weak_ptr<HttpClient::State> aState,
       const HttpClientRequest& aRequest,
       HttpCallbacks aCallbacks)
    : state_(std::move(aState))
    , request_(aRequest)
    , callbacks_(std::move(aCallbacks))
  {
  }

  void Begin();
  void Cancel() override;
  void PauseReading() override;
  void ResumeReading() override;
  // Frees the connection without a callback; the client goes away.
  evhttp_connection* Detach();

private:
  void MarkConnected();
  void HandleHead(evhttp_request* aRequest);
  void HandleData(evhttp_request* aRequest);
  void HandleDone(evhttp_request* aRequest);
  void ArmSilenceTimer(Duration aDelay);
  void CheckSilence();
  void Finish(HttpEnd aEnd, bool aIsReusable);
  bool IsConnected() const;

  std::weak_ptr<HttpClient::State> state_;
  HttpClientRequest request_;
  HttpCallbacks callbacks_;
  evhttp_connection* connection_ = nullptr;
  EventLoop::TimerId silenceTimer_ = 0;
  MonotonicTime lastByte_{};
  bool wasConnected_ = false;
  bool hasHead_ = false;
  bool isPaused_ = false;
  bool isDone_ = false;
};

void
Call::Begin()
{
  const auto state = state_.lock();
  connection_ = state->Connect(request_.address_, request_.mayReuseConnection_);
  wasConnected_ = IsConnected();
  evhttp_request* request = evhttp_request_new(
    [](evhttp_request* aDone, void* aSelf) {
      static_cast<Call*>(aSelf)->HandleDone(aDone);
    },
    this);
  evhttp_request_set_header_cb(request, [](evhttp_request* aHead, void* aSelf) {
    static_cast<Call*>(aSelf)->HandleHead(aHead);
    return 0;
  });
  evhttp_request_set_chunked_cb(request,
                                [](evhttp_request* aPart, void* aSelf) {
                                  static_cast<Call*>(aSelf)->HandleData(aPart);
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
Call::Cancel()
{
  if (isDone_) {
    return;
  }
  callbacks_ = {};
  Finish(HttpEnd::Broken, false);
}

void
Call::PauseReading()
{
  if (isDone_ || isPaused_) {
    return;
  }
  isPaused_ = true;
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_), EV_READ);
}

void
Call::ResumeReading()
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
Call::Detach()
{
  isDone_ = true;
  evhttp_connection* connection = connection_;
  connection_ = nullptr;
  return connection;
}

bool
Call::IsConnected() const
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
Call::MarkConnected()
{
  wasConnected_ = true;
  if (const auto state = state_.lock()) {
    lastByte_ = state->loop_.GetClock().Now();
  }
}

void
Call::HandleHead(evhttp_request* aRequest)
{
  MarkConnected();
  hasHead_ = true;
  if (callbacks_.onHead_) {
    callbacks_.onHead_(evhttp_request_get_response_code(aRequest),
                       ReadHeaders(aRequest));
  }
}

void
Call::HandleData(evhttp_request* aRequest)
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
Call::HandleDone(evhttp_request* aRequest)
{
  if (isDone_) {
    return;
  }
  if (aRequest == nullptr) {
    // A connection that broke in the middle. Whether the server got any of the
    // request is not known, even when no reply has begun.
    Finish(HttpEnd::Broken, false);
    return;
  }
  const int status = evhttp_request_get_response_code(aRequest);
  if (status == 0) {
    // evhttp reports a refused connection as a reply without a status.
    Finish(wasConnected_ ? HttpEnd::Broken : HttpEnd::NotConnected, false);
    return;
  }
  if (!hasHead_) {
    HandleHead(aRequest);
  }
  HandleData(aRequest);
  const std::string connectionField =
    FindHeader(ReadHeaders(aRequest), "Connection");
  Finish(HttpEnd::Complete, connectionField != "close");
}

void
Call::ArmSilenceTimer(Duration aDelay)
{
  if (const auto state = state_.lock()) {
    silenceTimer_ = state->loop_.CallAfter(aDelay, [this] { CheckSilence(); });
  }
}

void
Call::CheckSilence()
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
  const Duration silent = now - lastByte_;
  if (silent >= request_.silenceTimeout_ && !isPaused_) {
    Finish(HttpEnd::Silent, false);
    return;
  }
  ArmSilenceTimer(isPaused_ ? request_.silenceTimeout_
                            : request_.silenceTimeout_ - silent);
}

void
Call::Finish(HttpEnd aEnd, bool aIsReusable)
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  const auto state = state_.lock();
  if (state == nullptr) {
    return;
  }
  state->loop_.CancelTimer(silenceTimer_);
  const auto keepAlive = state->running_.find(this);
  const std::shared_ptr<Call> self =
    keepAlive != state->running_.end() ? keepAlive->second : nullptr;
  state->running_.erase(this);
  evhttp_connection* connection = connection_;
  connection_ = nullptr;
  if (aIsReusable && !isPaused_) {
    state->Release(request_.address_, connection);
  } else if (connection != nullptr) {
    // A call that is cancelled before it began has no connection.
    state->FreeLater(connection);
  }
  if (callbacks_.onEnd_) {
    const auto onEnd = std::move(callbacks_.onEnd_);
    onEnd(aEnd);
  }
  callbacks_ = {};
}

} // namespace

namespace {

// aTraffic outlives the connection: the state frees its connections.
void
CountBytes(evhttp_connection* aConnection, HttpClientTraffic& aTraffic)
{
  bufferevent* transport = evhttp_connection_get_bufferevent(aConnection);
  evbuffer_add_cb(
    bufferevent_get_input(transport),
    [](evbuffer*, const evbuffer_cb_info* aInfo, void* aCounter) {
      static_cast<HttpClientTraffic*>(aCounter)->received_ += aInfo->n_added;
    },
    &aTraffic);
  evbuffer_add_cb(
    bufferevent_get_output(transport),
    [](evbuffer*, const evbuffer_cb_info* aInfo, void* aCounter) {
      static_cast<HttpClientTraffic*>(aCounter)->sent_ += aInfo->n_deleted;
    },
    &aTraffic);
}

} // namespace

HttpClient::State::~State()
{
  for (auto& [address, connections] : idle_) {
    for (evhttp_connection* connection : connections) {
      evhttp_connection_free(connection);
    }
  }
  FreeDoomed();
}

evhttp_connection*
HttpClient::State::Connect(const Address& aAddress, bool aMayReuse)
{
  auto& idle = idle_[aAddress];
  if (aMayReuse && !idle.empty()) {
    evhttp_connection* connection = idle.back();
    idle.pop_back();
    return connection;
  }
  evhttp_connection* connection = evhttp_connection_base_new(
    loop_.Base(), nullptr, aAddress.ip_.c_str(), aAddress.port_);
  evhttp_connection_set_timeout(connection, kEvhttpTimeoutSeconds);
  CountBytes(connection, traffic_);
  return connection;
}

void
HttpClient::State::Release(const Address& aAddress,
                           evhttp_connection* aConnection)
{
  auto& idle = idle_[aAddress];
  if (idle.size() >= kMaxIdleForServer) {
    FreeLater(aConnection);
    return;
  }
  idle.push_back(aConnection);
}

void
HttpClient::State::FreeLater(evhttp_connection* aConnection)
{
  // Stop its events now: no callback of a finished call may follow.
  bufferevent_disable(evhttp_connection_get_bufferevent(aConnection),
                      EV_READ | EV_WRITE);
  const int fd =
    bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection));
  if (fd >= 0) {
    shutdown(fd, SHUT_RDWR);
  }
  doomed_.push_back(aConnection);
  loop_.Post([self = self_] {
    if (const auto state = self.lock()) {
      state->FreeDoomed();
    }
  });
}

void
HttpClient::State::FreeDoomed()
{
  for (evhttp_connection* connection : doomed_) {
    evhttp_connection_free(connection);
  }
  doomed_.clear();
}

HttpClient::HttpClient(EventLoop& aLoop)
  : state_(std::make_shared<State>(aLoop))
{
  state_->self_ = state_;
}

HttpClient::~HttpClient()
{
  const auto running = std::move(state_->running_);
  state_->running_.clear();
  for (const auto& [raw, call] : running) {
    if (evhttp_connection* connection = call->Detach()) {
      evhttp_connection_free(connection);
    }
  }
}

HttpClientTraffic
HttpClient::Traffic() const
{
  return state_->traffic_;
}

std::shared_ptr<HttpCall>
HttpClient::Start(const HttpClientRequest& aRequest, HttpCallbacks aCallbacks)
{
  auto call = std::make_shared<Call>(state_, aRequest, std::move(aCallbacks));
  state_->running_.emplace(call.get(), call);
  // Callbacks never run before Start returns.
  state_->loop_.Post([call, weak = std::weak_ptr<State>(state_)] {
    const auto state = weak.lock();
    if (state != nullptr && state->running_.count(call.get()) != 0) {
      call->Begin();
    }
  });
  return call;
}

std::shared_ptr<HttpCall>
HttpClient::Fetch(const HttpClientRequest& aRequest,
                  std::function<void(HttpClientReply)> aOnReply)
{
  auto reply = std::make_shared<HttpClientReply>();
  HttpCallbacks callbacks;
  callbacks.onHead_ = [reply](int aStatus, const HttpHeaders& aHeaders) {
    reply->status_ = aStatus;
    reply->headers_ = aHeaders;
  };
  callbacks.onData_ = [reply](std::string_view aData) {
    reply->body_.append(aData);
  };
  callbacks.onEnd_ = [reply, aOnReply](HttpEnd aEnd) {
    reply->end_ = aEnd;
    aOnReply(std::move(*reply));
  };
  return Start(aRequest, std::move(callbacks));
}

} // namespace sycamoreward
