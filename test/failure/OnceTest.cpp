// Fault matrix of unrepeatable requests with real processes: injects each fault
// at each stage of a certificate request. A certificate must be issued at most
// once, and a request reported as "not run" must not have run.

#include "caller/RecordingCaller.h"
#include "support/CertificateDesk.h"
#include "support/Deployment.h"
#include "support/DeploymentHistory.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdlib>
#include <random>

using namespace sycamoreward;

namespace {

constexpr unsigned kOwner = 0;
constexpr unsigned kRegistrar = 1;
constexpr int kCallerSeconds = 60;
// Longer than the 8 s after which an instance is declared dead.
constexpr int kSuspendSeconds = 12;
constexpr int kFaultSeconds = 5;
constexpr int kWriteDelayMs = 600;
constexpr int kWorkDelayMs = 2000;
constexpr unsigned kFixedSeed = 20261204;

struct Fault
{
  const char* name_;
  void (*begin_)(Deployment&);
  void (*end_)(Deployment&);
  int seconds_ = kFaultSeconds;
  bool needsLink_ = false;
};

const Fault kFaults[] = {
  { "kill owner",
    [](Deployment& aD) { KillEntry(aD, kOwner); },
    [](Deployment&) {} },
  { "reclaim owner",
    [](Deployment& aD) { aD.Notice(Deployment::EntryId(kOwner), 2); },
    [](Deployment& aD) { KillEntry(aD, kOwner); } },
  { "kill registrar",
    [](Deployment& aD) { KillEntry(aD, kRegistrar); },
    [](Deployment&) {} },
  { "freeze owner",
    [](Deployment& aD) { aD.Entry(kOwner).Suspend(); },
    [](Deployment& aD) { aD.Entry(kOwner).Resume(); },
    kSuspendSeconds },
  { "freeze registrar",
    [](Deployment& aD) { aD.Entry(kRegistrar).Suspend(); },
    [](Deployment& aD) { aD.Entry(kRegistrar).Resume(); },
    kSuspendSeconds },
  { "service killed",
    [](Deployment& aD) {
      SetAllServices(aD, { { "down", true } });
    },
    [](Deployment& aD) {
      SetAllServices(aD, { { "down", false } });
    } },
  { "service cuts",
    [](Deployment& aD) {
      SetAllServices(aD, { { "cutBeforeReply", true } });
    },
    [](Deployment& aD) {
      SetAllServices(aD, { { "cutBeforeReply", false } });
    } },
  { "service frozen",
    [](Deployment& aD) {
      SetAllServices(aD, { { "freeze", true } });
    },
    [](Deployment& aD) {
      SetAllServices(aD, { { "freeze", false } });
    } },
  { "link silent",
    [](Deployment& aD) { aD.PlatformLink().SetMode(LinkMode::SilenceAll); },
    [](Deployment& aD) { aD.PlatformLink().SetMode(LinkMode::Pass); },
    kFaultSeconds,
    true },
  { "link cut",
    [](Deployment& aD) { aD.PlatformLink().SetMode(LinkMode::Cut); },
    [](Deployment& aD) { aD.PlatformLink().SetMode(LinkMode::Pass); },
    kFaultSeconds,
    true },
  { "store down",
    [](Deployment& aD) {
      SetPlatform(aD, { { "storeDown", true } });
    },
    [](Deployment& aD) {
      SetPlatform(aD, { { "storeDown", false } });
    } },
  { "store slow",
    [](Deployment& aD) {
      SetPlatform(aD, { { "storeDelayMs", 2000 } });
    },
    [](Deployment& aD) {
      SetPlatform(aD, { { "storeDelayMs", 0 } });
    } },
  { "lost write replies",
    [](Deployment& aD) {
      SetPlatform(aD, { { "loseWriteReplies", 3 } });
    },
    [](Deployment& aD) {
      SetPlatform(aD, { { "loseWriteReplies", 0 } });
    } }
};

struct Moment
{
  const char* name_;
  // Called before the request is sent.
  void (*prepare_)(Deployment&);
  // Returns whether the moment has been reached after the request was sent.
  // Null if the fault is injected before the request is sent.
  bool (*isReached_)(Deployment&, const RecordingCaller&, std::uint64_t);
};

const Moment kMoments[] = {
  { "before the claim", [](Deployment&) {}, nullptr },
  { "while the claim is written",
    [](Deployment& aD) {
      SetPlatform(aD, { { "storeDelayMs", kWriteDelayMs } });
    },
    // The registrar sends the row within 125 ms; the table applies it later.
    [](Deployment& aD, const RecordingCaller&, std::uint64_t) {
      const auto end = aD.Loop().GetClock().Now() +
                       std::chrono::milliseconds(kWriteDelayMs / 2);
      aD.WaitFor([&] { return aD.Loop().GetClock().Now() >= end; }, 1);
      return true;
    } },
  { "after the claim",
    [](Deployment&) {},
    [](Deployment& aD, const RecordingCaller&, std::uint64_t aWrites) {
      return TableWrites(aD) > aWrites;
    } },
  { "while the service works",
    [](Deployment& aD) {
      SetAllServices(aD, { { "delayMs", kWorkDelayMs } });
    },
    [](Deployment& aD, const RecordingCaller&, std::uint64_t) {
      return IsServiceWorking(aD);
    } },
  { "after the reply",
    [](Deployment&) {},
    [](Deployment&, const RecordingCaller& aCaller, std::uint64_t) {
      return aCaller.IsDone();
    } }
};

struct Cell
{
  std::size_t fault_;
  std::size_t moment_;
};

constexpr std::size_t kMomentsPerFault = 2;

// Returns two moments for each fault. MATRIX_SEED selects other pairs.
std::vector<Cell>
ChooseCells()
{
  const char* seed = std::getenv("MATRIX_SEED");
  std::mt19937 random(
    seed == nullptr ? kFixedSeed
                    : static_cast<unsigned>(std::strtoul(seed, nullptr, 10)));
  std::vector<Cell> cells(std::size(kFaults) * kMomentsPerFault);
  for (std::size_t index = 0; index < cells.size(); ++index) {
    const bool isFirst = index % kMomentsPerFault == 0;
    const std::size_t step =
      isFirst ? random() : 1 + random() % (std::size(kMoments) - 1);
    const std::size_t moment = isFirst ? step : cells[index - 1].moment_ + step;
    cells[index] = { index / kMomentsPerFault, moment % std::size(kMoments) };
  }
  return cells;
}

CallerRequest
Certificate(Deployment& aDeployment,
            const std::string& aKey,
            const std::vector<unsigned>& aEntries)
{
  std::vector<Address> addresses;
  addresses.reserve(aEntries.size());
  for (const unsigned entry : aEntries) {
    addresses.push_back(aDeployment.CallerAddress(entry));
  }
  CallerRequest request = RecordRequest(aKey, kCertificateService, addresses);
  request.maxTries_ = 200;
  request.deadline_ = std::chrono::seconds(kCallerSeconds);
  return request;
}

void
RunCell(const Fault& aFault, const Moment& aMoment)
{
  cr_log_info("%s, %s", aFault.name_, aMoment.name_);
  DeploymentOptions options;
  options.engines_ = 0;
  options.services_ = 2;
  options.hasPlatformLink_ = aFault.needsLink_;
  Deployment deployment(options);
  const std::string key = KeyServedBy(kRegistrar);
  RecordingCaller first(deployment.Loop(), deployment.Client(), kCallerToken);
  aMoment.prepare_(deployment);
  const std::uint64_t writes = TableWrites(deployment);
  const CallerRequest request = Certificate(deployment, key, { 0, 1, 2 });
  if (aMoment.isReached_ == nullptr) {
    aFault.begin_(deployment);
  }
  first.Start(request);
  if (aMoment.isReached_ != nullptr) {
    cr_assert(deployment.WaitFor(
                [&] { return aMoment.isReached_(deployment, first, writes); },
                kCallerSeconds),
              "the moment did not come");
    aFault.begin_(deployment);
  }
  const auto end =
    deployment.Loop().GetClock().Now() + std::chrono::seconds(aFault.seconds_);
  deployment.WaitFor([&] { return deployment.Loop().GetClock().Now() >= end; },
                     kCallerSeconds);
  aFault.end_(deployment);
  SetPlatform(deployment, { { "storeDelayMs", 0 } });
  SetAllServices(deployment, { { "delayMs", 0 } });
  cr_assert(
    deployment.WaitFor([&] { return first.IsDone(); }, 2 * kCallerSeconds),
    "the caller got no end");
  RecordingCaller again(deployment.Loop(), deployment.Client(), kCallerToken);
  again.Start(Certificate(deployment, key, { 2, 1, 0 }));
  cr_assert(
    deployment.WaitFor([&] { return again.IsDone(); }, 2 * kCallerSeconds),
    "the caller that repeats the key got no end");
  ExpectNoViolations(deployment, first);
  ExpectNoViolations(deployment, again);
  const CallerReply one = first.Histories()[0].replies_.back();
  const CallerReply other = again.Histories()[0].replies_.back();
  cr_log_info(
    "%s, %s: %d, %d", aFault.name_, aMoment.name_, one.status_, other.status_);
  cr_assert(one.status_ != 200 || other.status_ != 200 ||
              one.answer_ == other.answer_,
            "one key got two answers");
  cr_assert(one.status_ != 200 || other.status_ == 200,
            "a repeated key lost its answer: %d",
            other.status_);
}

} // namespace

ParameterizedTestParameters(Once, CertificateUnderFault)
{
  static std::vector<Cell> cells = ChooseCells();
  return cr_make_param_array(Cell, cells.data(), cells.size());
}

ParameterizedTest(Cell* aCell, Once, CertificateUnderFault)
{
  RunCell(kFaults[aCell->fault_], kMoments[aCell->moment_]);
}
