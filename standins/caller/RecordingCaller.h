#pragma once

// A caller that records the history of its requests and replies. It sends each
// request with an idempotency key and retries with the same key when the
// connection breaks or the reply is 503.

#include "base/Address.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "verify/History.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

// A request to send and the limits on its retries.
struct CallerRequest
{
  // Used as the name in the history and as the idempotency key.
  std::string name_;
  ServiceName service_;
  HttpMethod method_ = HttpMethod::Post;
  std::string target_;
  std::string body_;
  bool isRepeatable_ = true;
  std::string expectedAnswer_;
  // Addresses of successive attempts, in order and starting over after the
  // last.
  std::vector<Address> addresses_;
  unsigned maxTries_ = 20;
  // Whether to retry after a complete 503 reply.
  bool triesAfterRefusal_ = true;
  Duration deadline_ = std::chrono::seconds(30);
};

// Returns a streamed completion request whose answer has aTokens tokens.
CallerRequest
CompletionRequest(const std::string& aName,
                  const std::string& aService,
                  unsigned aTokens,
                  const std::vector<Address>& aAddresses);

// Returns an unrepeatable request to a plain service.
CallerRequest
RecordRequest(const std::string& aName,
              const std::string& aService,
              const std::vector<Address>& aAddresses);

class RecordingCaller
{
public:
  RecordingCaller(EventLoop& aLoop, HttpClient& aClient, std::string aToken);

  // Sends a request, with retries. Its history is extended until it is done.
  void Start(const CallerRequest& aRequest);

  // Sets a callback that is called whenever data of an answer arrives.
  void OnData(std::function<void(const std::string& aName)> aCallback);

  bool IsDone() const { return openRequests_ == 0; }
  std::vector<CallerHistory> Histories() const;

private:
  struct RequestState;
  void SendRequest(const std::shared_ptr<RequestState>& aState);
  void OnEnd(const std::shared_ptr<RequestState>& aState, HttpEnd aEnd);

  EventLoop& loop_;
  HttpClient& client_;
  std::string token_;
  std::vector<std::shared_ptr<RequestState>> runs_;
  std::function<void(const std::string&)> onData_;
  std::size_t openRequests_ = 0;
};

} // namespace sycamoreward
