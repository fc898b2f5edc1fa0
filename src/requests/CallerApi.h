#pragma once

// The caller-facing HTTP API: validates a request, adds it to the request table
// and connects the caller to the answer.

#include "requests/HandoverCoordinator.h"
#include "requests/RequestContext.h"
#include "requests/RequestTable.h"
#include "runtime/HttpServer.h"

#include <functional>
#include <memory>

namespace sycamoreward {

// Serves completions, plain services, request records and the address list.
class CallerApi
{
public:
  // Time for which callers may cache a response to GET /v1/addresses.
  static constexpr std::chrono::seconds kAddressLifetime{ 30 };
  static constexpr std::size_t kMaxAddresses = 6;

  explicit CallerApi(RequestContext aContext,
                     const RequestTableBounds& aBounds = {});
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  // Handles an exchange if its path belongs to this API. Returns false
  // otherwise.
  bool Handle(const std::shared_ptr<HttpExchange>& aExchange);

  // Rejects new requests, including handovers from other instances. Running
  // requests continue.
  void StopAccepting();

  // Sets the callback that runs each time the last running request has ended.
  void OnIdle(std::function<void()> aCallback);
  std::size_t RunningRequests() const { return table_.Size(); }

  // Stops accepting requests and hands over running ones that will not end
  // before aDeadline.
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
