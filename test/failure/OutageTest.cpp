// Tests a long outage of the table and the object store with real processes.
// Repeatable work must continue, unrepeatable work must be refused as not run,
// and the backlog must be recorded afterwards within the write budget.

#include "caller/RecordingCaller.h"
#include "support/Deployment.h"
#include "support/DeploymentHistory.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kOutage{ 20 };
constexpr std::chrono::milliseconds kQueryInterval{ 100 };
constexpr int kTimeoutSeconds = 60;
// 8 partitions with 8 appends per second each.
constexpr double kWritesPerSecond = 64;
constexpr double kPartitions = 8;

struct Outage
{
  Deployment deployment_{ Options() };
  RecordingCaller queries_{ deployment_.Loop(),
                            deployment_.Client(),
                            kCallerToken };
  RecordingCaller certificates_{ deployment_.Loop(),
                                 deployment_.Client(),
                                 kCallerToken };
  unsigned started_ = 0;

  static DeploymentOptions Options()
  {
    DeploymentOptions options;
    options.engines_ = 2;
    return options;
  }

  MonotonicTime Now() { return deployment_.Loop().GetClock().Now(); }

  void SetDown(bool aIsDown)
  {
    deployment_.Post(
      deployment_.PlatformAddress(), "/faults", { { "storeDown", aIsDown } });
  }

  void StartQuery(unsigned aEntry)
  {
    queries_.Start(CompletionRequest("query-" + std::to_string(started_++),
                                     kQueryService,
                                     4,
                                     { deployment_.CallerAddress(aEntry) }));
  }

  // Starts queries until aEnd, at each instance in turn.
  void QueryUntil(MonotonicTime aEnd)
  {
    while (Now() < aEnd) {
      StartQuery(started_ % deployment_.Entries());
      const MonotonicTime next = Now() + kQueryInterval;
      deployment_.WaitFor([&] { return Now() >= next; }, kTimeoutSeconds);
    }
  }

  void RefuseCertificate(unsigned aEntry)
  {
    CallerRequest request =
      RecordRequest("certificate-" + std::to_string(aEntry),
                    kCertificateService,
                    { deployment_.CallerAddress(aEntry) });
    request.triesAfterRefusal_ = false;
    certificates_.Start(request);
  }

  double TableWrites()
  {
    return deployment_.Get(deployment_.PlatformAddress(), "/counters")
      .at("tableWrites");
  }
};

} // namespace

// Guards against requests that are lost, needlessly refused or wrongly reported
// while the store is down, and against a burst of writes afterwards.
Test(Outage, RepeatableWorkContinuesAndIsRecordedAfterRecovery)
{
  Outage outage;
  Deployment& deployment = outage.deployment_;
  outage.SetDown(true);
  const MonotonicTime end = outage.Now() + kOutage;
  for (unsigned entry = 0; entry < deployment.Entries(); ++entry) {
    outage.RefuseCertificate(entry);
  }
  outage.QueryUntil(outage.Now() + kOutage / 4);
  // A new instance must get its configuration from peers during the outage.
  const unsigned late = deployment.Entries();
  deployment.StartEntry(late);
  deployment.WaitUntilReady();
  deployment.WaitUntilInForce("Workspace", "lab");
  cr_assert_lt(outage.Now(), end, "the instance was not ready in the outage");
  outage.QueryUntil(end);
  cr_assert(deployment.WaitFor(
    [&] { return outage.queries_.IsDone() && outage.certificates_.IsDone(); },
    kTimeoutSeconds));
  for (const CallerHistory& caller : outage.certificates_.Histories()) {
    cr_assert_eq(caller.replies_.size(), 1U);
    cr_assert_eq(caller.replies_.back().status_, 503);
    cr_assert(caller.replies_.back().ran_ == RanReport::NotRun);
  }
  const MonotonicTime back = outage.Now();
  const double before = outage.TableWrites();
  outage.SetDown(false);
  for (int second = 1; second <= 8; ++second) {
    const MonotonicTime next = back + std::chrono::seconds(second);
    deployment.WaitFor([&] { return outage.Now() >= next; }, kTimeoutSeconds);
    const double elapsed =
      std::chrono::duration<double>(outage.Now() - back).count();
    // Each partition may start with one append in addition to its rate.
    cr_assert_leq(outage.TableWrites() - before,
                  kWritesPerSecond * elapsed + kPartitions);
  }
  ExpectAllAnswered(deployment, outage.queries_);
  ExpectNoViolations(deployment, outage.certificates_);
}
