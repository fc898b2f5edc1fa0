// Promise P2 under faults of engines and of their connections while streams
// run: each stream is resumed at another engine at the exact token.

#include "runtime/HttpServer.h"
#include "support/DeploymentHistory.h"
#include "support/FaultScene.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <functional>

using namespace sycamoreward;

namespace {

constexpr unsigned kTokenMs = 10;
constexpr unsigned kTokens = 200;
constexpr unsigned kFaultyEngine = 0;
// At most one in this many tokens may be computed twice, by hedges and by
// engines that have not yet detected that their stream was cancelled.
constexpr unsigned kMaxRecomputedDivisor = 25;
constexpr std::chrono::milliseconds kRoundInterval{ 600 };

using Step = std::function<void(FaultScene&)>;

Step
EngineFault(const nlohmann::json& aFaults)
{
  return [aFaults](FaultScene& aScene) {
    aScene.SetFaults(aScene.Deployed().EngineAddress(kFaultyEngine), aFaults);
  };
}

Step
Link(LinkMode aMode)
{
  return [aMode](FaultScene& aScene) {
    aScene.Deployed().EngineLink(kFaultyEngine).SetMode(aMode);
  };
}

// Starts streams in three rounds and a fourth right before the fault, so that
// at the time of the fault some streams are near their end, some in the middle,
// some at their first tokens and some not yet started. A last round starts
// while the fault is active.
void
RunFault(
  const Step& aFault,
  const Step& aEnd = [](FaultScene&) {})
{
  DeploymentOptions options = FaultScene::SlowEngines(kTokenMs);
  options.hasEngineLinks_ = true;
  FaultScene scene(options);
  const auto startRound = [&](const std::string& aName) {
    for (unsigned entry = 0; entry < scene.Deployed().Entries(); ++entry) {
      scene.StartStreams(
        aName + "-" + std::to_string(entry), 4, kTokens, entry);
    }
  };
  startRound("late");
  scene.Pass(kRoundInterval);
  startRound("middle");
  scene.Pass(kRoundInterval);
  startRound("early");
  scene.WaitForParts(1);
  const auto load = scene.Deployed().Get(
    scene.Deployed().EngineAddress(kFaultyEngine), "/load");
  cr_assert_gt(load.at("running").get<unsigned>(), 0);
  startRound("new");
  aFault(scene);
  scene.Pass(std::chrono::milliseconds(200));
  startRound("after");
  const bool isDone =
    scene.Deployed().WaitFor([&] { return scene.Caller().IsDone(); }, 20);
  cr_expect(isDone);
  aEnd(scene);
  scene.ExpectWhole(5);
  for (const CallerHistory& history : scene.Caller().Histories()) {
    cr_expect_eq(history.replies_.size(),
                 1,
                 "%s needed %zu tries",
                 history.name_.c_str(),
                 history.replies_.size());
  }
}

} // namespace

Test(StreamFault, EngineKilled)
{
  RunFault(
    [](FaultScene& aScene) { aScene.Deployed().Engine(kFaultyEngine).Kill(); });
}

// Also guards against streams that restart from their first token: the answers
// are complete then too, but engines compute each truncated part twice.
Test(StreamFault, StreamsCutMidway)
{
  RunFault(EngineFault({ { "cutAfterTokens", 100 } }), [](FaultScene& aScene) {
    const std::uint64_t computed = aScene.ComputedTokens();
    const std::uint64_t needed = aScene.Caller().Histories().size() * kTokens;
    cr_expect_leq(computed,
                  needed + needed / kMaxRecomputedDivisor,
                  "%lu tokens computed for %lu",
                  static_cast<unsigned long>(computed),
                  static_cast<unsigned long>(needed));
  });
}

Test(StreamFault, EngineSuspended)
{
  RunFault(
    [](FaultScene& aScene) {
      aScene.Deployed().Engine(kFaultyEngine).Suspend();
    },
    [](FaultScene& aScene) {
      aScene.Deployed().Engine(kFaultyEngine).Resume();
    });
}

Test(StreamFault, EngineLeaving)
{
  RunFault(EngineFault({ { "leaving", true } }));
}

Test(StreamFault, EngineRefusesRequests)
{
  RunFault(EngineFault({ { "refuse", true } }));
}

// The stall is shorter than the silence timeout that ends an attempt, but
// longer than the hedge delay: requests get a second attempt, and both attempts
// answer.
Test(StreamFault, SlowEngineIsHedged)
{
  RunFault(EngineFault({ { "stallMs", 900 } }));
}

Test(StreamFault, OpenConnectionsSilent)
{
  RunFault(Link(LinkMode::SilenceOpen));
}

Test(StreamFault, AllConnectionsSilent)
{
  RunFault(Link(LinkMode::SilenceAll));
}

Test(StreamFault, RepliesDropped)
{
  RunFault(Link(LinkMode::DropReplies));
}

Test(StreamFault, LinkCut)
{
  RunFault(Link(LinkMode::Cut));
}

// Guards against a plain reply that its server truncates but that looks
// complete to the caller. The service is repeatable and has only one server, so
// no other reply is available.
Test(StreamFault, PlainReplyCutByItsServer)
{
  FaultScene scene({});
  Deployment& deployment = scene.Deployed();
  unsigned cuts = 0;
  HttpServer cutting(
    deployment.Loop(), {}, [&](std::shared_ptr<HttpExchange> aExchange) {
      if (aExchange->Request().path_ != "/sheet") {
        aExchange->Reply(200, {}, R"({"accepting":true})");
        return;
      }
      ++cuts;
      aExchange->StartReply(200, { { "Content-Type", "text/plain" } });
      aExchange->SendChunk("the first half");
      deployment.Loop().CallAfter(std::chrono::milliseconds(50),
                                  [aExchange] { aExchange->Abort(); });
    });
  scene.AddPlainService("cutting", cutting.BoundAddress());
  for (unsigned entry = 0; entry < deployment.Entries(); ++entry) {
    cuts = 0;
    const HttpClientReply reply =
      deployment.Fetch(scene.PlainRequest("cutting", "/sheet", entry));
    cr_assert_gt(cuts, 0);
    cr_assert(reply.end_ != HttpEnd::Complete || reply.status_ >= 500,
              "the truncated reply was returned with status %d",
              reply.status_);
  }
}
