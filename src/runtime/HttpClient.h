#pragma once

// HTTP client over evhttp on one event loop.

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
  // Longest time without a byte of the reply, before its head and within it.
  Duration silenceTimeout_ = std::chrono::seconds(30);
  // A kept-alive connection can be closed by the server while the request is
  // on its way, which leaves open whether it ran. Requests that may not be
  // repeated use a new connection.
  bool mayReuseConnection_ = true;
};

// How a call ended.
enum class HttpEnd
{
  // The whole reply has arrived.
  Complete,
  // No connection was made: no byte has reached the server.
  NotConnected,
  // The connection broke, or the reply was malformed, after bytes may have
  // reached the server.
  Broken,
  // No byte arrived for the silence timeout.
  Silent
};

const char*
ToString(HttpEnd aEnd);

struct HttpCallbacks
{
  // Status and headers; called once, before any data.
  std::function<void(int aStatus, const HttpHeaders& aHeaders)> onHead_;
  std::function<void(std::string_view aData)> onData_;
  // Called once, last, unless the call was cancelled.
  std::function<void(HttpEnd aEnd)> onEnd_;
};

// A running call.
class HttpCall
{
public:
  virtual ~HttpCall() = default;

  // Cuts the connection. No callback follows.
  virtual void Cancel() = 0;

  // Stops and resumes reading, to slow the server down.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// A reply that was gathered whole.
struct HttpClientReply
{
  HttpEnd end_ = HttpEnd::NotConnected;
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;
};

// Bytes on the connections of a client since its start, with headers.
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

  // Starts a call. It goes on until its end even when the result is dropped.
  std::shared_ptr<HttpCall> Start(const HttpClientRequest& aRequest,
                                  HttpCallbacks aCallbacks);

  // Starts a call and gathers its reply.
  std::shared_ptr<HttpCall> Fetch(
    const HttpClientRequest& aRequest,
    std::function<void(HttpClientReply)> aOnReply);

  HttpClientTraffic Traffic() const;

  // Idle connections kept for each server.
  static constexpr std::size_t kMaxIdlePerServer = 8;

  // Opaque; defined beside the implementation.
  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward
