#pragma once

// A caller's request after its checks: what is to be run, for whom and under
// which rules.

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

struct AcceptedRequest
{
  RequestId id_;
  WorkspaceId workspace_;
  // Kept for the whole life of the request, so that a change of the
  // configuration has no effect on it.
  std::shared_ptr<const Configuration> configuration_;
  Service service_;
  bool isRepeatable_ = true;
  // The caller gave an Idempotency-Key.
  bool isKeyed_ = false;
  // The key that stands for one that the caller did not give. It is sent back,
  // so that the caller can ask again with it.
  std::string generatedKey_;
  std::string keyDigest_;
  std::string bodyDigest_;
  HttpMethod method_ = HttpMethod::Post;
  // As the caller sent it, and as a plain service gets it.
  std::string target_;
  std::string backendTarget_;
  std::string contentType_;
  std::string body_;
  std::optional<ModelCall> model_;
  WallTime accepted_{};
  MonotonicTime deadline_{};
  TraceParent trace_;

  ServiceName Name() const { return ServiceName(service_.metadata_.name_); }
};

// What a request is made from.
struct RequestInput
{
  WorkspaceId workspace_;
  HttpMethod method_ = HttpMethod::Post;
  // Path as received, and path with query.
  std::string path_;
  std::string target_;
  std::string contentType_;
  std::string idempotencyKey_;
  std::string traceParent_;
  std::string body_;
};

// Checks a request and gives it an id. Throws RequestRefused when the service
// does not exist, may not be called by the workspace or can't take the body.
AcceptedRequest
AcceptRequest(RequestContext& aContext, RequestInput aInput);

// The request of a handover message, under the configuration in force here.
// Throws RequestRefused when its service is not known here.
AcceptedRequest
AdoptRequest(RequestContext& aContext, const HandOver& aMessage);

// The form of the reply that the caller asked for.
ReplyForm
MakeReplyForm(const AcceptedRequest& aRequest);

// Whether aPath is one of the paths of model services.
bool
IsModelPath(const std::string& aPath);

// Empty when aName is no method that a server takes.
std::optional<HttpMethod>
ParseMethod(const std::string& aName);

} // namespace sycamoreward
