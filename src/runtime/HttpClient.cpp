#include "runtime/HttpClient.h"

#include "runtime/ClientCall.h"
#include "runtime/HttpClientState.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>

namespace sycamoreward {

namespace {

// Longer than any silence timeout, so that the timers of ClientCall take effect
// before that of evhttp.
constexpr int kEvhttpTimeoutSeconds = 24 * 3600;
// Maximum size of the head of a reply.
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
// Reading pauses above this number of bytes that are not processed yet. evhttp
// keeps a chunk, and the line that announces it, until it is complete.
constexpr std::size_t kMaxUnreadBytes = 8 * 1024 * 1024;
// Maximum size of a reply that is collected in memory.
constexpr std::size_t kMaxReplyBytes = 32 * 1024 * 1024;

// Adds the bytes of a connection to aTraffic, which must outlive it. Both
// belong to the same state, which frees its connections.
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

HttpClient::State::~State()
{
  for (auto& [address, connections] : idle_) {
    for (evhttp_connection* connection : connections) {
      evhttp_connection_free(connection);
    }
  }
  FreePending();
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
  evhttp_connection_set_max_headers_size(connection, kMaxHeadBytes);
  bufferevent_setwatermark(
    evhttp_connection_get_bufferevent(connection), EV_READ, 0, kMaxUnreadBytes);
  CountBytes(connection, traffic_);
  return connection;
}

void
HttpClient::State::Release(const Address& aAddress,
                           evhttp_connection* aConnection)
{
  auto& idle = idle_[aAddress];
  if (idle.size() >= kMaxIdlePerServer) {
    FreeLater(aConnection);
    return;
  }
  idle.push_back(aConnection);
}

void
HttpClient::State::FreeLater(evhttp_connection* aConnection)
{
  // Disable events now, so that no callback of the finished call runs.
  bufferevent_disable(evhttp_connection_get_bufferevent(aConnection),
                      EV_READ | EV_WRITE);
  const int fd =
    bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection));
  if (fd >= 0) {
    shutdown(fd, SHUT_RDWR);
  }
  pendingFree_.push_back(aConnection);
  loop_.Post([self = self_] {
    if (const auto state = self.lock()) {
      state->FreePending();
    }
  });
}

void
HttpClient::State::FreePending()
{
  for (evhttp_connection* connection : pendingFree_) {
    evhttp_connection_free(connection);
  }
  pendingFree_.clear();
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
  auto call =
    std::make_shared<ClientCall>(state_, aRequest, std::move(aCallbacks));
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
  const auto call = std::make_shared<std::weak_ptr<HttpCall>>();
  callbacks.onData_ = [reply, call, aOnReply](std::string_view aData) {
    if (reply->body_.size() + aData.size() <= kMaxReplyBytes) {
      reply->body_.append(aData);
      return;
    }
    // Cancelling destroys this callback.
    const auto onReply = aOnReply;
    HttpClientReply result = std::move(*reply);
    if (const auto running = call->lock()) {
      running->Cancel();
    }
    result.end_ = HttpEnd::Broken;
    onReply(std::move(result));
  };
  callbacks.onEnd_ = [reply, aOnReply](HttpEnd aEnd) {
    reply->end_ = aEnd;
    aOnReply(std::move(*reply));
  };
  auto running = Start(aRequest, std::move(callbacks));
  *call = running;
  return running;
}

} // namespace sycamoreward
