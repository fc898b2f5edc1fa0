#pragma once

// A caller that keeps the history of what it saw: it asks with a key, and again
// with the same key when the connection breaks or the system asks it to wait.

#include "base/Address.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "verify/History.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

struct CallerRequest
{
  // Name in the history and idempotency key.
  std::string name_;
  ServiceName service_;
  HttpMethod method_ = HttpMethod::Post;
  std::string target_;
  std::string body_;
  bool isRepeatable_ = true;
  std::string expectedAnswer_;
  // Addresses to use, in turn from the first one on.
  std::vector<Address> addresses_;
  unsigned maxTries_ = 20;
  // Whether to ask again after a refusal that says "not run".
  bool triesAfterRefusal_ = true;
  Duration deadline_ = std::chrono::seconds(30);
};

// A streamed completion of a model service whose answer has aTokens tokens.
CallerRequest
CompletionRequest(const std::string& aName,
                  const std::string& aService,
                  unsigned aTokens,
                  const std::vector<Address>& aAddresses);

// A call of the plain service that must not be repeated.
CallerRequest
RecordRequest(const std::string& aName,
              const std::string& aService,
              const std::vector<Address>& aAddresses);

class RecordingCaller
{
public:
  RecordingCaller(EventLoop& aLoop, HttpClient& aClient, std::string aToken);

  // Starts a request; its history grows until it is done.
  void Start(const CallerRequest& aRequest);

  // Calls aCallback at each part of an answer.
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
