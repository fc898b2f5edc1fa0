#pragma once

// The callers' API: checks a request, gives it to the table and connects its
// caller to the answer.

#include "requests/HandoverCoordinator.h"
#include "requests/RequestContext.h"
#include "requests/RequestTable.h"
#include "runtime/HttpServer.h"

#include <functional>
#include <memory>

namespace sycamoreward {

class CallerApi
{
public:
  // How long callers may use an answer to GET /v1/addresses.
  static constexpr std::chrono::seconds kAddressLifetime{ 30 };
  static constexpr std::size_t kMaxAddresses = 6;

  explicit CallerApi(RequestContext aContext);
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  // Handles an exchange whose path belongs to the callers' API. Returns false
  // for other paths.
  bool Handle(const std::shared_ptr<HttpExchange>& aExchange);

  // Refuses new requests, those of other instances included. Running ones go
  // on.
  void StopAccepting();

  // Calls aCallback each time the last running request has ended.
  void OnIdle(std::function<void()> aCallback);
  std::size_t RunningRequests() const { return table_.Size(); }

  // Hands over what will not end before aDeadline, and stops accepting.
  void HandOverAll(MonotonicTime aDeadline);

private:
  void HandleAddresses(HttpExchange& aExchange);
  void HandleLookup(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleRequest(const std::shared_ptr<HttpExchange>& aExchange);
  WorkspaceId Authenticate(const HttpExchange& aExchange) const;
  void CheckCapacity() const;

  RequestContext context_;
  RequestTable table_;
  HandoverCoordinator handovers_;
  bool isAccepting_ = true;
};

} // namespace sycamoreward
