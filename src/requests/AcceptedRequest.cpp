#include "requests/AcceptedRequest.h"

#include "base/Digest.h"
#include "ledger/Partition.h"
#include "requests/Access.h"
#include "requests/CallerError.h"

namespace sycamoreward {

namespace {

const std::string kChatPath = "/v1/chat/completions";
const std::string kCompletionsPath = "/v1/completions";
const std::string kServicesPrefix = "/services/";
constexpr std::size_t kMaxKeyLength = 256;
// Maximum number of bytes of an invalid value that an error message quotes.
constexpr std::size_t kMaxQuotedBytes = 100;

[[noreturn]] void
Refuse(int aStatus, const char* aCode, const std::string& aMessage)
{
  CallerError error;
  error.status_ = aStatus;
  error.code_ = aCode;
  error.step_ = "accept";
  error.message_ = aMessage;
  throw RequestRefused(error);
}

// Splits "/services/{service}/rest?query" into the service and "/rest?query".
std::pair<std::string, std::string>
SplitServiceTarget(const std::string& aTarget)
{
  const std::size_t start = kServicesPrefix.size();
  const std::size_t end = aTarget.find_first_of("/?", start);
  std::string name = aTarget.substr(start, end - start);
  std::string rest = end == std::string::npos ? "/" : aTarget.substr(end);
  if (rest.front() == '?') {
    rest.insert(0, "/");
  }
  return { std::move(name), std::move(rest) };
}

const Service&
FindService(const Configuration& aConfiguration,
            const std::string& aName,
            ServiceType aType)
{
  const auto found = aConfiguration.services_.find(aName);
  if (found == aConfiguration.services_.end() || found->second.type_ != aType) {
    Refuse(404,
           "no_such_service",
           "There is no service \"" + aName.substr(0, kMaxQuotedBytes) + "\".");
  }
  return found->second;
}

// Sets the fields that derive from method, target and body.
AcceptedRequest
Interpret(RequestContext& aContext, RequestInput& aInput)
{
  AcceptedRequest request;
  request.configuration_ = aContext.configuration_.Current();
  const Configuration& configuration = *request.configuration_;
  request.workspace_ = std::move(aInput.workspace_);
  request.method_ = aInput.method_;
  request.backendTarget_ = aInput.path_;
  if (IsModelPath(aInput.path_)) {
    request.model_ = ParseModelCall(aInput.path_ == kChatPath, aInput.body_);
    request.service_ = FindService(
      configuration, request.model_->service_.Value(), ServiceType::Model);
    request.isRepeatable_ = request.service_.isRepeatable_;
  } else {
    auto [name, rest] = SplitServiceTarget(aInput.target_);
    request.service_ = FindService(configuration, name, ServiceType::Plain);
    request.backendTarget_ = rest;
    request.isRepeatable_ = IsRepeatable(
      request.service_, request.method_, rest.substr(0, rest.find('?')));
  }
  request.target_ = std::move(aInput.target_);
  request.contentType_ = std::move(aInput.contentType_);
  request.body_ = std::move(aInput.body_);
  request.charge_ = std::move(aInput.charge_);
  return request;
}

} // namespace

AcceptedRequest
AcceptRequest(RequestContext& aContext, RequestInput aInput)
{
  if (aInput.idempotencyKey_.size() > kMaxKeyLength) {
    Refuse(400,
           "invalid_request",
           "The Idempotency-Key has " +
             std::to_string(aInput.idempotencyKey_.size()) +
             " bytes; at most " + std::to_string(kMaxKeyLength) +
             " are allowed.");
  }
  AcceptedRequest request = Interpret(aContext, aInput);
  const auto workspace =
    request.configuration_->workspaces_.find(request.workspace_.Value());
  if (workspace == request.configuration_->workspaces_.end() ||
      !IsServiceAllowed(workspace->second, request.Name())) {
    Refuse(403,
           "not_allowed",
           "The workspace \"" + request.workspace_.Value() +
             "\" may not call the service \"" + request.Name().Value() + "\".");
  }
  request.isKeyed_ = !aInput.idempotencyKey_.empty();
  if (!request.isKeyed_) {
    request.generatedKey_ =
      HexOf(aContext.random_()) + HexOf(aContext.random_());
  }
  // The key digest selects the ledger partition, so it is computed before the
  // request id.
  request.keyDigest_ = Sha256Hex(
    { request.workspace_.Value(),
      request.Name().Value(),
      request.isKeyed_ ? aInput.idempotencyKey_ : request.generatedKey_ });
  request.id_ = aContext.ledger_.MakeRequestId(request.service_.region_,
                                               request.workspace_,
                                               request.Name(),
                                               request.keyDigest_);
  request.bodyDigest_ =
    Sha256Hex({ ToString(request.method_), request.target_, request.body_ });
  request.trace_ = ReadTraceParent(aInput.traceParent_, aContext.random_);
  request.accepted_ = aContext.loop_.GetClock().Wall();
  request.deadline_ =
    aContext.loop_.GetClock().Now() + request.service_.class_.deadline_;
  return request;
}

AcceptedRequest
AdoptRequest(RequestContext& aContext, const HandOver& aMessage)
{
  RequestInput input;
  input.workspace_ = aMessage.workspace_;
  const auto method = ParseMethod(aMessage.method_);
  if (!method) {
    Refuse(400,
           "invalid_request",
           "The method \"" + aMessage.method_ + "\" is not supported.");
  }
  input.method_ = *method;
  input.target_ = aMessage.target_;
  input.path_ = aMessage.target_.substr(0, aMessage.target_.find('?'));
  input.contentType_ = aMessage.contentType_;
  input.body_ = aMessage.body_;
  AcceptedRequest request = Interpret(aContext, input);
  request.id_ = aMessage.request_;
  // The connection to the caller stays with the previous owner, so the caller
  // can only reconnect by key. Marking the request as keyed keeps it running
  // while no caller is connected.
  request.isKeyed_ = true;
  request.keyDigest_ = aMessage.keyDigest_;
  request.bodyDigest_ = aMessage.bodyDigest_;
  request.accepted_ = aMessage.accepted_;
  request.trace_ = ReadTraceParent("", aContext.random_);
  request.deadline_ = aContext.loop_.GetClock().Now() + aMessage.remaining_;
  return request;
}

ReplyForm
MakeReplyForm(const AcceptedRequest& aRequest)
{
  ReplyForm form;
  form.generatedKey_ = aRequest.generatedKey_;
  if (!aRequest.model_) {
    return form;
  }
  form.kind_ =
    aRequest.model_->isStream_ ? ReplyKind::Stream : ReplyKind::Object;
  form.isChat_ = aRequest.model_->isChat_;
  form.model_ = aRequest.Name().Value();
  form.promptTokens_ = EstimateTokens(aRequest.model_->prompt_);
  form.created_ = aRequest.accepted_;
  return form;
}

bool
IsModelPath(const std::string& aPath)
{
  return aPath == kChatPath || aPath == kCompletionsPath;
}

std::optional<HttpMethod>
ParseMethod(const std::string& aName)
{
  for (const HttpMethod method : { HttpMethod::Get,
                                   HttpMethod::Post,
                                   HttpMethod::Put,
                                   HttpMethod::Delete,
                                   HttpMethod::Head,
                                   HttpMethod::Patch,
                                   HttpMethod::Options }) {
    if (aName == ToString(method)) {
      return method;
    }
  }
  return std::nullopt;
}

} // namespace sycamoreward
