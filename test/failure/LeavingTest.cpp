// Promise P5: a backend server that is leaving receives no new work after 3 s.

#include "support/DeploymentHistory.h"
#include "support/FaultScene.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kBound{ 3 };
constexpr std::chrono::milliseconds kCallInterval{ 50 };
constexpr unsigned kLeaving = 0;

// The ways in which entry instances can detect that an engine is leaving.
struct LeavingCase
{
  // The engine reports it in its load reports and refuses work.
  bool engineReportsLeaving_ = false;
  // The platform's list reports it.
  bool listReportsLeaving_ = false;
  int listLagMs_ = 0;
  bool areEntriesIsolated_ = false;
  // The engine's replies are lost, so its last load report becomes stale.
  bool losesReplies_ = false;
};

// Sends requests to all entry instances continuously.
class Callers
{
public:
  explicit Callers(FaultScene& aScene)
    : scene_(aScene)
  {
  }

  void SendRequestsFor(std::chrono::milliseconds aTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < end) {
      for (unsigned entry = 0; entry < scene_.Deployed().Entries(); ++entry) {
        const auto name = "query-" + std::to_string(nextNumber_++);
        scene_.Caller().Start(CompletionRequest(
          name, kQueryService, 4, { scene_.Deployed().CallerAddress(entry) }));
      }
      scene_.Pass(kCallInterval);
    }
  }

private:
  FaultScene& scene_;
  unsigned nextNumber_ = 0;
};

std::int64_t
NowUs()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
ReportLeaving(FaultScene& aScene, const LeavingCase& aCase)
{
  Deployment& deployment = aScene.Deployed();
  if (aCase.engineReportsLeaving_) {
    aScene.SetFaults(deployment.EngineAddress(kLeaving),
                     { { "leaving", true } });
  }
  if (aCase.listReportsLeaving_) {
    deployment.SetState(Deployment::EngineId(kLeaving), "leaving");
  }
  if (aCase.losesReplies_) {
    deployment.EngineLink(kLeaving).SetMode(LinkMode::DropReplies);
  }
}

void
RunCase(const LeavingCase& aCase)
{
  DeploymentOptions options;
  options.areEntriesIsolated_ = aCase.areEntriesIsolated_;
  options.hasEngineLinks_ = aCase.losesReplies_;
  FaultScene scene(options);
  Deployment& deployment = scene.Deployed();
  Callers callers(scene);
  callers.SendRequestsFor(std::chrono::seconds(1));
  deployment.Post(deployment.PlatformAddress(),
                  "/faults",
                  { { "listLagMs", aCase.listLagMs_ } });
  const auto before = scene.EngineCounters(kLeaving);
  cr_assert_gt(before.at("lastAcceptedUs").get<std::int64_t>(), 0);
  const std::int64_t leftAtUs = NowUs();
  ReportLeaving(scene, aCase);
  callers.SendRequestsFor(kBound);
  const auto atBound = scene.EngineCounters(kLeaving);
  callers.SendRequestsFor(std::chrono::milliseconds(2500));
  cr_assert(deployment.WaitFor([&] { return scene.Caller().IsDone(); }, 10));
  const auto after = scene.EngineCounters(kLeaving);
  const std::int64_t last = after.at("lastAcceptedUs");
  cr_assert_leq(last - leftAtUs,
                std::chrono::microseconds(kBound).count(),
                "new work came %ld us after the engine left",
                long(last - leftAtUs));
  // An engine that reports that it is leaving refuses further requests.
  cr_assert_eq(after.at("refused").get<unsigned>(),
               atBound.at("refused").get<unsigned>(),
               "new work was sent after 3 s and refused");
  if (aCase.losesReplies_) {
    ExpectNoViolations(deployment, scene.Caller());
  } else {
    ExpectAllAnswered(deployment, scene.Caller());
  }
}

} // namespace

// Guards against new work for an engine that reports that it is leaving while
// the list still reports it as live.
Test(Leaving, EngineReportsLeaving)
{
  LeavingCase each;
  each.engineReportsLeaving_ = true;
  RunCase(each);
}

// Guards against new work for an engine that still accepts work while the list
// reports that it is leaving.
Test(Leaving, OnlyListReportsLeaving)
{
  LeavingCase each;
  each.listReportsLeaving_ = true;
  RunCase(each);
}

Test(Leaving, EngineReportsLeavingWhileListLags)
{
  LeavingCase each;
  each.engineReportsLeaving_ = true;
  each.listReportsLeaving_ = true;
  each.listLagMs_ = 10000;
  RunCase(each);
}

// Guards against a bound that holds only while instances can inform each other.
Test(Leaving, EngineReportsLeavingToIsolatedInstances)
{
  LeavingCase each;
  each.engineReportsLeaving_ = true;
  each.listReportsLeaving_ = true;
  each.listLagMs_ = 10000;
  each.areEntriesIsolated_ = true;
  RunCase(each);
}

// Guards against new work that relies on a stale load report.
Test(Leaving, EngineRepliesAreLost)
{
  LeavingCase each;
  each.losesReplies_ = true;
  RunCase(each);
}
