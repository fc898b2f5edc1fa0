#include "support/RequestFixture.h"

#include "recovery/SseParser.h"

#include <criterion/criterion.h>

namespace sycamoreward {

namespace {

constexpr std::chrono::seconds kWaitTimeout{ 20 };
constexpr std::chrono::milliseconds kClockStep{ 50 };
constexpr int kMaxSteps = 20000;

void
AddService(Configuration& aConfiguration,
           const std::string& aName,
           ServiceType aType,
           bool aIsRepeatable,
           const std::string& aStatusPath)
{
  Service service;
  service.metadata_.name_ = aName;
  service.type_ = aType;
  service.region_ = RegionId("region");
  service.model_ = "engine-model";
  service.isRepeatable_ = aIsRepeatable;
  service.statusPath_ = aStatusPath;
  aConfiguration.services_[aName] = service;
}

PeerIdentity
MakeIdentity(const std::string& aInstance, const Address& aCallers)
{
  PeerIdentity identity;
  identity.instance_ = InstanceId(aInstance);
  identity.failureDomain_ = FailureDomainId("domain-" + aInstance);
  identity.region_ = RegionId("region");
  identity.callerAddress_ = aCallers;
  return identity;
}

} // namespace

Address
RequestTestbed::AddBackend(const std::string& aId, HttpServer::Handler aHandler)
{
  backends_.push_back(
    std::make_unique<HttpServer>(loop_, HttpServerOptions{}, aHandler));
  Server server;
  server.id_ = ServerId(aId);
  server.address_ = backends_.back()->BoundAddress();
  servers_.push_back(server);
  return server.address_;
}

void
RequestTestbed::AddDeadBackend(const std::string& aId)
{
  AddBackend(aId, [](std::shared_ptr<HttpExchange>) {});
  backends_.pop_back();
}

void
RequestTestbed::RunLoopUntil(const std::function<bool()>& aDone)
{
  cr_assert(loop_.RunUntil(aDone, kWaitTimeout),
            "the expected state was not reached");
}

void
RequestTestbed::AdvanceClockUntil(const std::function<bool()>& aDone)
{
  for (int step = 0; step < kMaxSteps && !aDone(); ++step) {
    // Pending socket events are handled before the clock advances.
    loop_.RunUntil(aDone, std::chrono::milliseconds(2));
    if (!aDone()) {
      clock_.Advance(kClockStep);
    }
  }
  cr_assert(aDone(), "the expected state was not reached");
}

RequestFixture::RequestFixture(RequestTestbed& aTestbed,
                               const std::string& aInstance)
  : testbed_(aTestbed)
  , peers_(aTestbed.loop_, InstanceId(aInstance))
  , scheduler_(aTestbed.loop_)
  , api_(RequestContext{
      aTestbed.loop_,
      aTestbed.client_,
      scheduler_,
      aTestbed.ledger_,
      configuration_,
      servers_,
      membership_,
      peers_,
      [value = std::uint64_t(1)]() mutable { return value++; } })
  , callerServer_(aTestbed.loop_,
                  {},
                  [this](std::shared_ptr<HttpExchange> aExchange) {
                    if (!api_.Handle(aExchange)) {
                      aExchange->Reply(404, {}, "");
                    }
                  })
{
  Configuration& configuration = *configuration_.current_;
  AddService(configuration, "model", ServiceType::Model, true, "");
  AddService(configuration, "desk", ServiceType::Plain, false, "/status/{id}");
  AddService(configuration, "bare", ServiceType::Plain, false, "");
  AddService(configuration, "look", ServiceType::Plain, true, "");
  for (const std::string name : { "a", "b" }) {
    Workspace workspace;
    workspace.metadata_.name_ = name;
    workspace.tokenDigests_ = { Sha256Hex("token-" + name) };
    configuration.workspaces_[name] = workspace;
  }
  configuration.workspaces_["b"].services_ = { ServiceName("look") };
  servers_.servers_ = aTestbed.servers_;
  scheduler_.servers_ = aTestbed.servers_;
  membership_.members_.self_ = InstanceId(aInstance);
  membership_.members_.members_ = { Member{
    MakeIdentity(aInstance, callerServer_.BoundAddress()),
    MemberState::Live } };
}

std::shared_ptr<CallerView>
RequestFixture::Send(HttpMethod aMethod,
                     const std::string& aTarget,
                     const std::string& aBody,
                     const std::string& aKey,
                     const std::string& aToken)
{
  HttpClientRequest request;
  request.address_ = callerServer_.BoundAddress();
  request.method_ = aMethod;
  request.target_ = aTarget;
  request.body_ = aBody;
  request.headers_ = { { "Authorization", "Bearer " + aToken },
                       { "Content-Type", "application/json" } };
  request.connectTimeout_ = std::chrono::hours(10);
  request.silenceTimeout_ = std::chrono::hours(10);
  if (!aKey.empty()) {
    request.headers_.emplace_back("Idempotency-Key", aKey);
  }
  auto view = std::make_shared<CallerView>();
  HttpCallbacks callbacks;
  callbacks.onHead_ = [view](int aStatus, const HttpHeaders& aHeaders) {
    view->reply_.status_ = aStatus;
    view->reply_.headers_ = aHeaders;
  };
  callbacks.onData_ = [view](std::string_view aData) {
    view->reply_.body_ += aData;
  };
  callbacks.onEnd_ = [view](HttpEnd aEnd) {
    view->reply_.end_ = aEnd;
    view->isEnded_ = true;
  };
  lastCall_ = testbed_.callerClient_.Start(request, std::move(callbacks));
  return view;
}

HttpClientReply
RequestFixture::Fetch(HttpMethod aMethod,
                      const std::string& aTarget,
                      const std::string& aBody,
                      const std::string& aKey,
                      const std::string& aToken)
{
  const auto view = Send(aMethod, aTarget, aBody, aKey, aToken);
  testbed_.AdvanceClockUntil([&] { return view->isEnded_; });
  return view->reply_;
}

void
LinkFixtures(const std::vector<RequestFixture*>& aFixtures)
{
  for (RequestFixture* fixture : aFixtures) {
    for (RequestFixture* other : aFixtures) {
      if (fixture != other) {
        fixture->peers_.links_[other->membership_.members_.self_] =
          &other->peers_;
        fixture->membership_.members_.members_.push_back(
          other->membership_.members_.members_.front());
      }
    }
  }
}

std::string
CompletionBody(bool aIsStream)
{
  return nlohmann::json{
    { "model", "model" },
    { "prompt", "a prompt" },
    { "max_tokens", 40 },
    { "stream", aIsStream }
  }.dump();
}

std::string
TokenEvent(unsigned aAttempt, std::size_t aIndex, const std::string& aText)
{
  const nlohmann::json choice{ { "index", 0 },
                               { "text", aText },
                               { "finish_reason", nullptr } };
  return "data: " +
         nlohmann::json{
           { "choices", nlohmann::json::array({ choice }) },
           { "attempt", aAttempt },
           { "index", aIndex }
         }.dump() +
         "\n\n";
}

std::string
EndEvents(unsigned aAttempt, std::size_t aCount)
{
  const nlohmann::json choice{ { "index", 0 },
                               { "text", "" },
                               { "finish_reason", "stop" } };
  return "data: " +
         nlohmann::json{
           { "choices", nlohmann::json::array({ choice }) },
           { "attempt", aAttempt },
           { "index", aCount }
         }.dump() +
         "\n\ndata: [DONE]\n\n";
}

std::string
StreamText(const std::string& aBody)
{
  SseParser parser;
  std::vector<std::string> events;
  parser.Feed(aBody, events);
  std::string text;
  for (const std::string& event : events) {
    if (event != "[DONE]") {
      text += nlohmann::json::parse(event)["choices"][0].value("text", "");
    }
  }
  return text;
}

} // namespace sycamoreward
