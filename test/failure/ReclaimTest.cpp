// Promise P1: an accepted request survives any announced reclaim of the
// instance or failure domain serving it.

#include "support/FaultScene.h"

#include <criterion/criterion.h>

#include <cstdint>

using namespace sycamoreward;

namespace {

constexpr int kNoticeSeconds = 3;
constexpr unsigned kStreams = 6;
// A stream takes 5 s at 10 ms per token, which is longer than the notice.
constexpr unsigned kTokens = 500;
constexpr unsigned kTokenMs = 10;
// Tokens that an engine may still compute for a stream that was handed over.
constexpr unsigned kMaxWastedTokens = 20;

// A scenario in which instances are reclaimed.
struct ReclaimCase
{
  const char* name_;
  // Entry instances that receive a notice, in order.
  std::vector<unsigned> reclaimedEntries_;
  // Time between successive notices.
  std::chrono::milliseconds noticeInterval_{ 0 };
  // Whether the engines in the same failure domains are reclaimed too.
  bool reclaimsEngines_ = false;
};

void
KillEngines(FaultScene& aScene, unsigned aDomain)
{
  Deployment& deployment = aScene.Deployed();
  for (unsigned engine = 0; engine < deployment.Engines(); ++engine) {
    if (Deployment::FailureDomain(engine) ==
        Deployment::FailureDomain(aDomain)) {
      deployment.Engine(engine).Kill();
    }
  }
}

void
AnnounceEngines(FaultScene& aScene, unsigned aDomain)
{
  Deployment& deployment = aScene.Deployed();
  for (unsigned engine = 0; engine < deployment.Engines(); ++engine) {
    if (Deployment::FailureDomain(engine) ==
        Deployment::FailureDomain(aDomain)) {
      aScene.SetFaults(deployment.EngineAddress(engine),
                       { { "leaving", true } });
      deployment.SetState(Deployment::EngineId(engine), "leaving");
    }
  }
}

// Sends the notices of aCase, then expects the instances to exit and kills the
// reclaimed engines when the last notice expires.
void
Reclaim(FaultScene& aScene, const ReclaimCase& aCase)
{
  Deployment& deployment = aScene.Deployed();
  for (const unsigned entry : aCase.reclaimedEntries_) {
    deployment.Notice(Deployment::EntryId(entry), kNoticeSeconds);
    deployment.SetState(Deployment::EntryId(entry), "leaving");
    if (aCase.reclaimsEngines_) {
      AnnounceEngines(aScene, entry);
    }
    aScene.Pass(aCase.noticeInterval_);
  }
  aScene.Pass(std::chrono::seconds(kNoticeSeconds));
  for (const unsigned entry : aCase.reclaimedEntries_) {
    cr_expect_eq(deployment.Entry(entry).WaitForExit(1),
                 0,
                 "%s did not end by itself",
                 Deployment::EntryId(entry).c_str());
    if (aCase.reclaimsEngines_) {
      KillEngines(aScene, entry);
    }
  }
}

void
RunCase(const ReclaimCase& aCase)
{
  DeploymentOptions options = FaultScene::SlowEngines(kTokenMs);
  options.entries_ = 4;
  FaultScene scene(options);
  scene.SetFaults(scene.Deployed().ServiceAddress(0), { { "delayMs", 1000 } });
  scene.StartStreams("stream", kStreams, kTokens, 0);
  scene.StartCertificate("certificate", 0);
  scene.WaitForParts(3);
  Reclaim(scene, aCase);
  scene.ExpectWhole(12);
  unsigned handedOver = 0;
  for (unsigned index = 0; index < kStreams; ++index) {
    handedOver +=
      scene.RepliesTo("stream-" + std::to_string(index)).size() > 1 ? 1 : 0;
  }
  cr_assert_eq(handedOver, kStreams, "%u streams were handed over", handedOver);
  // A stream that is run again instead of handed over has its tokens computed
  // twice. Engines continue for some steps after the handover message.
  const std::uint64_t computed = scene.ComputedTokens();
  cr_assert_leq(computed,
                kStreams *
                  (kTokens + kMaxWastedTokens * aCase.reclaimedEntries_.size()),
                "%lu tokens were computed",
                static_cast<unsigned long>(computed));
}

} // namespace

// Guards against losing long streams when the instance that serves them is
// reclaimed, and against losing a certificate that completes within the notice.
Test(Reclaim, OneInstance)
{
  RunCase({ "instance", { 0 } });
}

// Guards against choosing successors in the reclaimed failure domain, and
// against streams that end when their engine does.
Test(Reclaim, FailureDomain)
{
  RunCase({ "domain", { 0, 3 }, {}, true });
}

// Guards against losing a request because its successor is leaving too.
Test(Reclaim, Wave)
{
  RunCase({ "wave", { 0, 1, 2 }, std::chrono::milliseconds(700) });
}

namespace {

// Kills an instance aAfterNotice after its reclaim notice.
void
RunKill(std::chrono::milliseconds aAfterNotice)
{
  FaultScene scene(FaultScene::SlowEngines(kTokenMs));
  Deployment& deployment = scene.Deployed();
  scene.SetFaults(deployment.ServiceAddress(0), { { "delayMs", 1500 } });
  scene.StartStreams("stream", kStreams, kTokens, 0);
  scene.StartCertificate("certificate", 0);
  scene.WaitForParts(3);
  deployment.Notice(Deployment::EntryId(0), kNoticeSeconds);
  scene.Pass(aAfterNotice);
  deployment.Entry(0).Kill();
  deployment.SetState(Deployment::EntryId(0), "gone");
  scene.ExpectWhole(25);
}

} // namespace

// The tests below guard against a duplicate run or a lost answer when the
// process is killed before it has read the notice, during the handover, or
// afterwards.
Test(Reclaim, KilledBeforeHandover)
{
  RunKill(std::chrono::milliseconds(50));
}

Test(Reclaim, KilledDuringHandover)
{
  RunKill(std::chrono::milliseconds(450));
}

Test(Reclaim, KilledAfterHandover)
{
  RunKill(std::chrono::milliseconds(1000));
}
