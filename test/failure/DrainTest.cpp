// Promise P6: a graceful shutdown interrupts no request in progress.

#include "runtime/HttpServer.h"
#include "support/FaultScene.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

using namespace sycamoreward;

namespace {

constexpr unsigned kStreams = 6;
constexpr unsigned kTokens = 300;

HttpEnd
ConnectTo(Deployment& aDeployment, const Address& aAddress)
{
  HttpClientRequest request;
  request.address_ = aAddress;
  request.target_ = "/v1/addresses";
  request.mayReuseConnection_ = false;
  return aDeployment.Fetch(request).end_;
}

void
ExpectOneReplyEach(const FaultScene& aScene)
{
  for (unsigned index = 0; index < kStreams; ++index) {
    const auto replies = aScene.RepliesTo("drained-" + std::to_string(index));
    cr_assert_eq(replies.size(), 1, "%zu replies", replies.size());
  }
  cr_assert_eq(aScene.RepliesTo("certificate").size(), 1);
}

} // namespace

// Guards against an instance that, after SIGTERM, aborts, hands over or refuses
// its running requests, or still accepts new connections.
Test(Drain, RunningRequestsCompleteOnTheirConnections)
{
  FaultScene scene(FaultScene::SlowEngines(10));
  Deployment& deployment = scene.Deployed();
  scene.SetFaults(deployment.ServiceAddress(0), { { "delayMs", 2000 } });
  scene.StartStreams("drained", kStreams, kTokens, 0);
  scene.StartCertificate("certificate", 0);
  scene.WaitForParts(3);
  const Address leaving = deployment.CallerAddress(0);
  deployment.Entry(0).Terminate();
  cr_assert(
    deployment.WaitFor(
      [&] { return ConnectTo(deployment, leaving) == HttpEnd::NotConnected; },
      1),
    "the leaving instance takes new connections");
  for (unsigned entry = 1; entry < deployment.Entries(); ++entry) {
    cr_assert(deployment.WaitFor(
                [&] {
                  const auto listed = scene.ListedAddresses(entry);
                  return std::find(listed.begin(),
                                   listed.end(),
                                   ToString(leaving)) == listed.end();
                },
                2),
              "%s still lists the leaving instance",
              Deployment::EntryId(entry).c_str());
  }
  cr_assert_not(scene.Caller().IsDone(), "the streams ended too early");
  scene.ExpectWhole(10);
  ExpectOneReplyEach(scene);
  cr_assert_eq(deployment.Entry(0).WaitForExit(5), 0);
}

// Guards against an instance that exits while a complete reply is still in its
// buffer, which truncates the answer for a caller that reads slowly.
Test(Drain, SlowReaderReceivesCompleteReply)
{
  FaultScene scene({});
  Deployment& deployment = scene.Deployed();
  const std::string body(7 * 1024 * 1024, 'x');
  HttpServer archive(
    deployment.Loop(), {}, [&](std::shared_ptr<HttpExchange> aExchange) {
      const bool isSheet = aExchange->Request().path_ == "/sheet";
      aExchange->Reply(200, {}, isSheet ? body : R"({"accepting":true})");
    });
  scene.AddPlainService("archive", archive.BoundAddress());
  HttpClientRequest request = scene.PlainRequest("archive", "/sheet", 0);
  request.silenceTimeout_ = std::chrono::seconds(20);
  std::shared_ptr<HttpCall> call;
  int status = 0;
  std::size_t size = 0;
  std::optional<HttpEnd> end;
  HttpCallbacks callbacks;
  callbacks.onHead_ = [&](int aStatus, const HttpHeaders&) {
    status = aStatus;
    call->PauseReading();
  };
  callbacks.onData_ = [&](std::string_view aData) { size += aData.size(); };
  callbacks.onEnd_ = [&](HttpEnd aEnd) { end = aEnd; };
  call = deployment.Client().Start(request, std::move(callbacks));
  cr_assert(deployment.WaitFor([&] { return status != 0; }, 5));
  cr_assert_eq(status, 200, "%d", status);
  deployment.Entry(0).Terminate();
  scene.Pass(std::chrono::seconds(1));
  call->ResumeReading();
  cr_assert(deployment.WaitFor([&] { return end.has_value(); }, 10));
  cr_assert_eq(*end, HttpEnd::Complete, "%s", ToString(*end));
  cr_assert_eq(size, body.size(), "%zu bytes", size);
  cr_assert_eq(deployment.Entry(0).WaitForExit(5), 0);
}
