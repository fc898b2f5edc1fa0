// Fuzzes the acceptance of callers' requests and of handovers. Guards against
// requests that crash the process or are rejected by an exception other than
// RequestRefused.

#include "requests/AcceptedRequest.h"
#include "requests/Access.h"
#include "requests/CallerError.h"
#include "support/RequestFixture.h"

#include <fuzzer/FuzzedDataProvider.h>

#include <cstdlib>

using namespace sycamoreward;

namespace {

void
AddService(Configuration& aConfiguration,
           const std::string& aName,
           ServiceType aType)
{
  Service service;
  service.metadata_.name_ = aName;
  service.type_ = aType;
  service.region_ = RegionId("r");
  aConfiguration.services_[aName] = service;
}

// The components that the request path needs, with fakes.
struct RequestPath
{
  RequestPath()
  {
    AddService(*configuration_.current_, "m", ServiceType::Model);
    AddService(*configuration_.current_, "d", ServiceType::Plain);
    configuration_.current_->workspaces_["w"] = Workspace();
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  FakeScheduler scheduler_{ loop_ };
  FakeLedger ledger_{ loop_ };
  FakeConfiguration configuration_;
  FakeServers servers_;
  FixedMembership membership_;
  FakePeers peers_{ loop_, InstanceId("i") };
  RequestContext context_{
    loop_,       client_,        scheduler_,
    ledger_,     configuration_, servers_,
    membership_, peers_,         [] { return std::uint64_t(3); }
  };
};

void
Accept(RequestContext& aContext, FuzzedDataProvider& aProvider)
{
  static const char* const kPaths[] = {
    "/v1/chat/completions", "/v1/completions", "/services/d", "/services/"
  };
  RequestInput input;
  input.workspace_ = WorkspaceId("w");
  input.path_ = aProvider.PickValueInArray(kPaths);
  if (!IsModelPath(input.path_)) {
    input.path_ += aProvider.ConsumeRandomLengthString(32);
  }
  input.target_ = input.path_ + aProvider.ConsumeRandomLengthString(32);
  input.contentType_ = aProvider.ConsumeRandomLengthString(16);
  input.idempotencyKey_ = aProvider.ConsumeRandomLengthString(300);
  input.traceParent_ = aProvider.ConsumeRandomLengthString(60);
  FindWorkspace(*aContext.configuration_.Current(), input.contentType_);
  input.body_ = aProvider.ConsumeRemainingBytesAsString();
  const AcceptedRequest request = AcceptRequest(aContext, std::move(input));
  MakeReplyForm(request);
  if (request.model_) {
    PrefixHashes(request.model_->prompt_);
    EngineBody(*request.model_,
               request.service_,
               request.id_,
               AttemptNumber(1),
               { "a" });
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  static auto* requestPath = new RequestPath();
  FuzzedDataProvider provider(aData, aSize);
  try {
    Accept(requestPath->context_, provider);
  } catch (const RequestRefused& refused) {
    WriteErrorBody(refused.Error());
    MakeErrorHeaders(refused.Error());
  }
  HandOver message;
  message.service_ = ServiceName(aSize % 2 == 0 ? "m" : "d");
  message.workspace_ = WorkspaceId("w");
  message.method_ = "POST";
  message.target_ = aSize % 2 == 0 ? "/v1/completions" : "/services/d";
  message.body_.assign(reinterpret_cast<const char*>(aData), aSize);
  try {
    AdoptRequest(requestPath->context_, message);
  } catch (const RequestRefused&) {
  }
  return 0;
}
