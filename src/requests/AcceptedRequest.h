#pragma once

// A validated caller request: what to run, for which workspace and under which
// configuration.

#include "base/Clock.h"
#include "configuration/Resource.h"
#include "peer/Messages.h"
#include "requests/ModelCall.h"
#include "requests/ReplyForm.h"
#include "requests/RequestContext.h"
#include "requests/TraceParent.h"

#include <memory>
#include <optional>
#include <string>

namespace sycamoreward {

// A request that passed all checks, with the configuration that it runs under.
struct AcceptedRequest
{
  RequestId id_;
  WorkspaceId workspace_;
  // Held for the lifetime of the request, so that later configuration changes
  // do not affect it.
  std::shared_ptr<const Configuration> configuration_;
  Service service_;
  bool isRepeatable_ = true;
  // The caller sent an Idempotency-Key, or the request was handed over.
  bool isKeyed_ = false;
  // Generated when the caller sent no Idempotency-Key. Returned in the reply so
  // that the caller can retry with it.
  std::string generatedKey_;
  // SHA-256 of workspace, service and key, in hexadecimal.
  std::string keyDigest_;
  // SHA-256 of method, target and body, in hexadecimal.
  std::string bodyDigest_;
  HttpMethod method_ = HttpMethod::Post;
  // Target as sent by the caller, and the target sent to a plain service.
  std::string target_;
  std::string backendTarget_;
  std::string contentType_;
  std::string body_;
  // Set for requests to model services.
  std::optional<ModelCall> model_;
  WallTime accepted_{};
  MonotonicTime deadline_{};
  TraceParent trace_;
  // Accounts for the memory of the request. Null if it was handed over.
  std::shared_ptr<const void> charge_;

  ServiceName Name() const { return ServiceName(service_.metadata_.name_); }
};

// The parts of a caller's HTTP request that AcceptRequest needs.
struct RequestInput
{
  WorkspaceId workspace_;
  HttpMethod method_ = HttpMethod::Post;
  // Path without the query string, and path with it.
  std::string path_;
  std::string target_;
  std::string contentType_;
  std::string idempotencyKey_;
  std::string traceParent_;
  std::string body_;
  // See HttpExchange::Charge.
  std::shared_ptr<const void> charge_;
};

// Validates a request and assigns its id. Throws RequestRefused when the
// service does not exist, the workspace is not allowed to call it or the body
// is invalid for it.
AcceptedRequest
AcceptRequest(RequestContext& aContext, RequestInput aInput);

// Recreates the request of a handover message under this instance's current
// configuration. Throws RequestRefused when the service is not known here.
AcceptedRequest
AdoptRequest(RequestContext& aContext, const HandOver& aMessage);

// Returns the reply format that the caller asked for.
ReplyForm
MakeReplyForm(const AcceptedRequest& aRequest);

// Returns whether aPath is an endpoint of model services.
bool
IsModelPath(const std::string& aPath);

// Parses an HTTP method name. Returns nullopt for unsupported methods.
std::optional<HttpMethod>
ParseMethod(const std::string& aName);

} // namespace sycamoreward
