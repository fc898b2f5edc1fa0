#pragma once

// HTTP client based on evhttp that runs on one event loop.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Units.h"
#include "runtime/Http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sycamoreward {

class EventLoop;

struct HttpClientRequest
{
  Address address_;
  HttpMethod method_ = HttpMethod::Get;
  // Path and query.
  std::string target_ = "/";
  HttpHeaders headers_;
  std::string body_;
  Duration connectTimeout_ = std::chrono::seconds(2);
  // Maximum time without received data, before the reply and within it.
  Duration silenceTimeout_ = std::chrono::seconds(30);
  // A server can close a kept-alive connection while a request is in transit,
  // and then it is unknown whether the request ran. Unrepeatable requests
  // therefore use a new connection.
  bool mayReuseConnection_ = true;
};

// How a call ended.
enum class HttpEnd
{
  // The complete reply has arrived.
  Complete,
  // No connection was established, so no byte has reached the server.
  NotConnected,
  // The connection broke or the reply was malformed. Bytes of the request may
  // have reached the server.
  Broken,
  // No data arrived within the silence timeout.
  Silent
};

const char*
ToString(HttpEnd aEnd);

struct HttpCallbacks
{
  // Called once with the status and the headers, before any data.
  std::function<void(int aStatus, const HttpHeaders& aHeaders)> onHead_;
  std::function<void(std::string_view aData)> onData_;
  // Called once as the last callback, unless the call was cancelled.
  std::function<void(HttpEnd aEnd)> onEnd_;
};

// Handle of a running call.
class HttpCall
{
public:
  virtual ~HttpCall() = default;

  // Closes the connection. No callback is called afterwards.
  virtual void Cancel() = 0;

  // Pause and resume reading, which applies backpressure to the server.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// A reply with its body collected in memory.
struct HttpClientReply
{
  HttpEnd end_ = HttpEnd::NotConnected;
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;
};

// Bytes transferred by a client since its start, headers included.
struct HttpClientTraffic
{
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
};

class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  // Cancels all calls.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. The call continues even if the returned handle is dropped.
  std::shared_ptr<HttpCall> Start(const HttpClientRequest& aRequest,
                                  HttpCallbacks aCallbacks);

  // Starts a call and collects its reply in memory.
  std::shared_ptr<HttpCall> Fetch(
    const HttpClientRequest& aRequest,
    std::function<void(HttpClientReply)> aOnReply);

  HttpClientTraffic Traffic() const;

  // Maximum number of idle connections kept for each server.
  static constexpr std::size_t kMaxIdlePerServer = 8;

  // Defined in HttpClientState.h.
  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
