#include "requests/CallerApi.h"

#include "base/BoundedJson.h"
#include "requests/Access.h"
#include "requests/AddressAnswer.h"
#include "requests/CallerConnection.h"
#include "requests/CallerError.h"
#include "requests/TaskErrors.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

using nlohmann::json;

const std::string kLookupPrefix = "/v1/requests/";
const std::string kServicesPrefix = "/services/";

[[noreturn]] void
Refuse(int aStatus,
       const char* aCode,
       const std::string& aMessage,
       Ran aRan = Ran::NotRun)
{
  CallerError error;
  error.status_ = aStatus;
  error.code_ = aCode;
  error.step_ = "accept";
  error.message_ = aMessage;
  error.ran_ = aRan;
  throw RequestRefused(error);
}

void
ReplyWithError(HttpExchange& aExchange,
               const CallerError& aError,
               const std::string& aId)
{
  HttpHeaders headers = MakeErrorHeaders(aError);
  headers.emplace_back("X-Request-Id", aId);
  aExchange.Reply(aError.status_, headers, WriteErrorBody(aError));
}

std::int64_t
Milliseconds(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

json
OutcomeJson(const Outcome& aOutcome)
{
  json attempts = json::array();
  for (const AttemptRecord& attempt : aOutcome.attempts_) {
    attempts.push_back({ { "number", attempt.number_.Value() },
                         { "server", attempt.server_.Value() },
                         { "sentMs", Milliseconds(attempt.sent_) },
                         { "end", attempt.end_ } });
  }
  return { { "id", aOutcome.request_.Value() },
           { "state", "ended" },
           { "service", aOutcome.service_.Value() },
           { "outcome", ToString(aOutcome.kind_) },
           { "attempts", attempts },
           { "acceptedMs", Milliseconds(aOutcome.accepted_) },
           { "endedMs", Milliseconds(aOutcome.ended_) },
           { "answerDigest", aOutcome.answerDigest_ },
           { "answerLength", aOutcome.answerLength_.Value() },
           { "evidence", aOutcome.evidence_ } };
}

RequestInput
MakeRequestInput(const HttpServerRequest& aRequest)
{
  RequestInput input;
  input.method_ = aRequest.method_;
  input.path_ = aRequest.path_;
  input.target_ = aRequest.target_;
  input.contentType_ = FindHeader(aRequest.headers_, "Content-Type");
  input.idempotencyKey_ = FindHeader(aRequest.headers_, "Idempotency-Key");
  input.traceParent_ = FindHeader(aRequest.headers_, "traceparent");
  input.body_ = aRequest.body_;
  return input;
}

CallerError
NoSuchRequest(const std::string& aId)
{
  CallerError error;
  error.status_ = 404;
  error.code_ = "no_such_request";
  error.step_ = "lookup";
  error.ran_ = Ran::Unknown;
  error.message_ = "There is no request \"" + aId + "\" in this workspace.";
  return error;
}

void
ReplyLookup(HttpExchange& aExchange,
            const WorkspaceId& aWorkspace,
            const std::string& aId,
            const Ledger::LookupReply& aReply)
{
  if (!aReply.error_.empty()) {
    CallerError error;
    error.status_ = 503;
    error.code_ = "lookup_unavailable";
    error.step_ = "lookup";
    error.ran_ = Ran::Unknown;
    error.message_ = "The request record cannot be read now: " + aReply.error_;
    ReplyWithError(aExchange, error, aId);
  } else if (!aReply.outcome_ || aReply.outcome_->workspace_ != aWorkspace) {
    ReplyWithError(aExchange, NoSuchRequest(aId), aId);
  } else {
    aExchange.Reply(
      200,
      { { "Content-Type", "application/json" }, { "X-Request-Id", aId } },
      OutcomeJson(*aReply.outcome_)
        .dump(-1, ' ', false, json::error_handler_t::replace));
  }
}

} // namespace

CallerApi::CallerApi(RequestContext aContext, const RequestTableBounds& aBounds)
  : context_(std::move(aContext))
  , table_(context_, aBounds)
  , handovers_(context_, table_)
{
}

bool
CallerApi::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string& path = aExchange->Request().path_;
  try {
    if (path == "/v1/addresses") {
      HandleAddresses(*aExchange);
    } else if (path.compare(0, kLookupPrefix.size(), kLookupPrefix) == 0) {
      HandleLookup(aExchange);
    } else if (IsModelPath(path) ||
               path.compare(0, kServicesPrefix.size(), kServicesPrefix) == 0) {
      HandleRequest(aExchange);
    } else {
      return false;
    }
  } catch (const RequestRefused& refused) {
    // The id only identifies the refusal in the logs of caller and instance; no
    // record is stored under it.
    ReplyWithError(*aExchange,
                   refused.Error(),
                   "refused." + std::to_string(context_.random_()));
  }
  return true;
}

void
CallerApi::HandleAddresses(HttpExchange& aExchange)
{
  aExchange.Reply(200,
                  { { "Content-Type", "application/json" } },
                  WriteAddresses(context_.membership_.Members(),
                                 kAddressLifetime,
                                 kMaxAddresses));
}

WorkspaceId
CallerApi::Authenticate(const HttpExchange& aExchange) const
{
  const auto workspace =
    FindWorkspace(*context_.configuration_.Current(),
                  FindHeader(aExchange.Request().headers_, "Authorization"));
  if (!workspace) {
    Refuse(401,
           "unauthorized",
           "The request has no bearer token of a known workspace.");
  }
  return *workspace;
}

void
CallerApi::HandleLookup(const std::shared_ptr<HttpExchange>& aExchange)
{
  const WorkspaceId workspace = Authenticate(*aExchange);
  const std::string id =
    aExchange->Request().path_.substr(kLookupPrefix.size());
  if (aExchange->Request().method_ != HttpMethod::Get) {
    Refuse(
      405, "method_not_allowed", "Request records are read-only; use GET.");
  }
  if (const auto task = table_.FindRunning(RequestId(id))) {
    if (task->Request().workspace_ != workspace) {
      ReplyWithError(*aExchange, NoSuchRequest(id), id);
      return;
    }
    aExchange->Reply(
      200,
      { { "Content-Type", "application/json" }, { "X-Request-Id", id } },
      json{ { "id", id },
            { "state", "running" },
            { "service", task->Request().Name().Value() } }
        .dump());
    return;
  }
  context_.ledger_.Lookup(
    RequestId(id),
    [aExchange, workspace, id](const Ledger::LookupReply& aReply) {
      ReplyLookup(*aExchange, workspace, id, aReply);
    });
}

void
CallerApi::CheckCapacity() const
{
  if (!isAccepting_) {
    Refuse(503,
           "leaving",
           "This instance is leaving; GET /v1/addresses lists others.");
  }
  if (!context_.ledger_.HasBufferSpace()) {
    Refuse(503,
           "ledger_full",
           "Too many outcomes are waiting to be recorded; new requests are "
           "rejected.");
  }
  if (table_.IsFull()) {
    Refuse(503,
           "overloaded",
           "This instance has reached its limit of running requests.");
  }
}

void
CallerApi::HandleRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpServerRequest& received = aExchange->Request();
  const WorkspaceId workspace = Authenticate(*aExchange);
  if (!aExchange->MayRunFor(workspace)) {
    Refuse(503,
           "workspace_memory",
           "The requests of this workspace hold too much memory of this "
           "instance.");
  }
  RequestInput input = MakeRequestInput(received);
  input.workspace_ = workspace;
  input.charge_ = aExchange->Charge();
  if (IsModelPath(received.path_) && received.method_ != HttpMethod::Post) {
    Refuse(
      405, "method_not_allowed", "Completions must be requested with POST.");
  }
  AcceptedRequest request = AcceptRequest(context_, std::move(input));
  if (request.model_.has_value() &&
      !aExchange->HoldMore(request.model_->values_ * kJsonValueBytes)) {
    Refuse(503,
           "memory",
           "The requests in progress hold too much memory of this instance.");
  }
  const ReplyForm form = MakeReplyForm(request);
  const auto known = table_.FindByKey(request.keyDigest_);
  if (known.log_ != nullptr) {
    if (known.bodyDigest_ != request.bodyDigest_) {
      RegisterReply mismatch;
      mismatch.status_ = RegisterStatus::BodyMismatch;
      ReplyWithError(
        *aExchange, KeyError(mismatch), known.log_->Request().Value());
      return;
    }
    CallerConnection::Attach(aExchange, known.log_, form);
    return;
  }
  CheckCapacity();
  CallerConnection::Attach(aExchange, table_.Run(std::move(request)), form);
}

void
CallerApi::StopAccepting()
{
  isAccepting_ = false;
  handovers_.StopAccepting();
}

void
CallerApi::OnIdle(std::function<void()> aCallback)
{
  table_.OnIdle(std::move(aCallback));
}

void
CallerApi::HandOverAll(MonotonicTime aDeadline)
{
  isAccepting_ = false;
  handovers_.HandOverAll(aDeadline);
}

} // namespace sycamoreward
