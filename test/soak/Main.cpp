// Fault soak: runs entry instances as processes against stand-ins and injects
// overlapping faults in random order while callers keep sending requests.
// Checks what callers and backend servers observe. The seed determines the
// order of the faults.

#include "support/PlatformFixture.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <set>

using namespace sycamoreward;
using standin::BackendFault;
using standin::BackendStandIn;
using standin::StoreStandIn;

namespace {

constexpr int kEvents = 6;
constexpr double kStartTimeoutSeconds = 20;
// Time to wait for answers and reports after the last fault.
constexpr double kSettleSeconds = 8;
// Time for a change of the deployment to be in force everywhere.
constexpr double kApplySeconds = 3;
// In every third run a request crashes the desks that run it. From this time
// after the third crash and the last fault on, this number may reach them.
constexpr std::uint64_t kCrashingSeedStep = 3;
constexpr const char* kCrashingBody = "a sheet that crashes desks";
constexpr const char* kCrashingPrefix = "crashing-";
constexpr std::size_t kCrashesUntilKnown = 3;
constexpr Duration kKnownTime = std::chrono::seconds(3);
constexpr std::size_t kAllowedCrashing = 3;
// Connections of callers to each instance that stay open.
constexpr std::size_t kKeptConnections = 4;
// Copies of the store, one made each second, to which it can return.
constexpr std::size_t kCopies = 6;

struct Soak
{
  PlatformFixture& fixture_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<CallerRun>> runs_;
  std::vector<std::string> violations_;
  int asked_ = 0;
  int served_ = 0;
  std::uint64_t version_ = 1;
  // Whether a request crashes the desks that run it.
  bool hasCrashingRequest_ = false;
  std::vector<StoreStandIn::Copy> copies_;
  // Connections of callers that use them until the process is gone, by
  // instance.
  std::map<std::size_t, std::vector<std::shared_ptr<http::BackendChannel>>>
    kept_;

  std::uint64_t RandomBelow(std::uint64_t aBound) { return random_() % aBound; }
};

const char*
RandomPath(Soak& aSoak)
{
  constexpr const char* kPaths[] = { PlatformFixture::kResumable,
                                     PlatformFixture::kStream,
                                     PlatformFixture::kOnce,
                                     PlatformFixture::kRepeatable };
  return kPaths[aSoak.RandomBelow(4)];
}

void
SendRequest(Soak& aSoak)
{
  const std::string id = "soak-" + std::to_string(aSoak.asked_++);
  const std::size_t edge = aSoak.RandomBelow(aSoak.fixture_.edges_.size());
  auto& kept = aSoak.kept_[edge];
  kept.resize(kKeptConnections);
  const bool isKept = aSoak.RandomBelow(2) == 0;
  auto& connection = kept[aSoak.RandomBelow(kept.size())];
  auto run = aSoak.fixture_.Ask(edge,
                                RandomPath(aSoak),
                                id,
                                PlatformFixture::kKey,
                                isKept ? connection : nullptr);
  if (isKept) {
    connection = run->channel_;
  }
  aSoak.runs_.push_back(run);
  // Some callers close the connection before they get an answer.
  if (!isKept && aSoak.RandomBelow(20) == 0) {
    aSoak.fixture_.loop_.CallAfter(
      std::chrono::milliseconds(aSoak.RandomBelow(30)), [run] {
        run->channel_->Cut();
        run->isDone_ = true;
        run->status_ = -1;
      });
  }
}

void
SendCrashingRequest(Soak& aSoak)
{
  PlatformFixture& fixture = aSoak.fixture_;
  fixture.body_ = kCrashingBody;
  aSoak.runs_.push_back(
    fixture.Ask(aSoak.RandomBelow(fixture.edges_.size()),
                PlatformFixture::kRepeatable,
                kCrashingPrefix + std::to_string(aSoak.asked_++)));
  fixture.body_.clear();
}

// Returns the store to a copy some seconds old. Operators and servers write
// again what was lost.
void
RestoreStore(Soak& aSoak)
{
  PlatformFixture& fixture = aSoak.fixture_;
  fixture.store_.Restore(
    aSoak.copies_[aSoak.RandomBelow(aSoak.copies_.size())]);
  const auto rewrite = std::chrono::milliseconds(aSoak.RandomBelow(1500));
  fixture.loop_.CallAfter(rewrite, [&aSoak] {
    aSoak.fixture_.PutDeployment(++aSoak.version_, { "/extra/" });
    for (auto* list : { &aSoak.fixture_.engines_, &aSoak.fixture_.desks_ }) {
      for (const auto& backend : *list) {
        aSoak.fixture_.ListBackend(*backend, "ready");
      }
    }
  });
}

// Injects a random fault and returns a function that ends it.
std::function<void()>
StartFault(Soak& aSoak)
{
  PlatformFixture& fixture = aSoak.fixture_;
  const std::size_t edge = aSoak.RandomBelow(fixture.edges_.size());
  switch (aSoak.RandomBelow(11)) {
    case 0:
      fixture.edges_[edge]->Kill();
      return [&fixture, edge] { fixture.StartEdge(edge); };
    case 1:
      fixture.edges_[edge]->Suspend();
      return [&fixture, edge] { fixture.edges_[edge]->Resume(); };
    case 2:
      fixture.edges_[edge]->Terminate();
      return [&fixture, edge] { fixture.StartEdge(edge); };
    case 3: {
      CuttableLink* link = fixture.storeLinks_[edge].get();
      constexpr LinkMode kModes[] = { LinkMode::SilenceOpen,
                                      LinkMode::SilenceAll,
                                      LinkMode::DropReplies,
                                      LinkMode::Cut };
      link->SetMode(kModes[aSoak.RandomBelow(4)]);
      return [link] { link->SetMode(LinkMode::Pass); };
    }
    case 4: {
      if (fixture.backendLinks_.empty()) {
        return [] {};
      }
      auto link = fixture.backendLinks_.begin();
      std::advance(link, aSoak.RandomBelow(fixture.backendLinks_.size()));
      constexpr LinkMode kModes[] = { LinkMode::SilenceOpen, LinkMode::Cut };
      CuttableLink* cut = link->second.get();
      cut->SetMode(kModes[aSoak.RandomBelow(2)]);
      return [cut] { cut->SetMode(LinkMode::Pass); };
    }
    case 5: {
      auto& list =
        aSoak.RandomBelow(2) == 0 ? fixture.engines_ : fixture.desks_;
      BackendStandIn* backend = list[aSoak.RandomBelow(list.size())].get();
      constexpr BackendFault kFaults[] = {
        BackendFault::NotRun,    BackendFault::CutBefore,
        BackendFault::CutWithin, BackendFault::Silent,
        BackendFault::Error,     BackendFault::OtherServer,
        BackendFault::EndWithin, BackendFault::EndBefore
      };
      constexpr http::BodyEnd kFramings[] = { http::BodyEnd::Chunked,
                                              http::BodyEnd::Close };
      backend->fault_ = kFaults[aSoak.RandomBelow(8)];
      backend->framing_ = kFramings[aSoak.RandomBelow(2)];
      return [backend] { backend->fault_ = BackendFault::None; };
    }
    case 6: {
      auto& faults = fixture.store_.faults_;
      (aSoak.RandomBelow(2) == 0 ? faults.isBusy_ : faults.isSilent_) = true;
      return [&faults] { faults.isBusy_ = faults.isSilent_ = false; };
    }
    case 7:
      fixture.store_.faults_.lostWrites_ += 2;
      fixture.store_.DropHistory();
      return [] {};
    case 8: {
      auto& list =
        aSoak.RandomBelow(2) == 0 ? fixture.engines_ : fixture.desks_;
      BackendStandIn* backend = list[aSoak.RandomBelow(list.size())].get();
      constexpr const char* kLimits[] = { "0", "0.5", "1.3", "12", "nan" };
      backend->limit_ = kLimits[aSoak.RandomBelow(5)];
      return [backend] { backend->limit_.clear(); };
    }
    case 9: {
      auto& faults = fixture.store_.faults_;
      faults.isSilent_ = aSoak.RandomBelow(2) == 0;
      return [&aSoak, &faults] {
        RestoreStore(aSoak);
        faults.isSilent_ = false;
      };
    }
    default: {
      fixture.PutDeployment(++aSoak.version_, { "/extra/" });
      const BackendStandIn& desk = *fixture.desks_[0];
      fixture.ListBackend(desk, "draining");
      return [&fixture, &desk] { fixture.ListBackend(desk, "ready"); };
    }
  }
}

void
RecordViolation(Soak& aSoak, const CallerRun& aRun, const std::string& aWhat)
{
  aSoak.violations_.push_back(aRun.request_ + " on " + aRun.path_ + ": " +
                              aWhat);
}

void
CheckRun(Soak& aSoak, const CallerRun& aRun)
{
  const auto runs = aSoak.fixture_.RunsOf(aRun.request_);
  const std::string path = aRun.path_;
  const bool isRepeatable =
    path == PlatformFixture::kRepeatable || path == PlatformFixture::kResumable;
  const int events =
    path == PlatformFixture::kResumable || path == PlatformFixture::kStream
      ? kEvents
      : 0;
  if (runs.size() > (isRepeatable ? 2u : 1u)) {
    RecordViolation(
      aSoak, aRun, "ran " + std::to_string(runs.size()) + " times");
  }
  const bool isCrashing = aRun.request_.rfind(kCrashingPrefix, 0) == 0;
  const std::string body =
    isCrashing ? kCrashingBody : "body of " + aRun.request_;
  for (const auto& run : runs) {
    if (run.hasKey_ || run.workspace_ != "one" || run.target_ != path ||
        run.body_ != body) {
      RecordViolation(aSoak, aRun, "reached a server changed");
    }
  }
  if (aRun.status_ == 200 && aRun.isWhole_) {
    ++aSoak.served_;
    if (aRun.body_ != BackendStandIn::AnswerBody(aRun.request_, events) ||
        aRun.signature_ != "sig-" + aRun.request_) {
      RecordViolation(aSoak, aRun, "got another body: " + aRun.body_);
    }
  }
  const bool isReportedNotRun = aRun.status_ == 503 || aRun.status_ == 429;
  if (isReportedNotRun && !runs.empty()) {
    RecordViolation(aSoak, aRun, "ran and was called not run");
  }
  if (!aRun.isDone_) {
    RecordViolation(aSoak, aRun, "has no end");
  }
}

void
RunFaults(Soak& aSoak, double aSeconds)
{
  PlatformFixture& fixture = aSoak.fixture_;
  const MonotonicTime end =
    fixture.clock_.Now() + Duration(Duration::rep(aSeconds * 1e6));
  std::multimap<MonotonicTime, std::function<void()>> ends;
  MonotonicTime nextCopy;
  while (fixture.clock_.Now() < end) {
    SendRequest(aSoak);
    const MonotonicTime now = fixture.clock_.Now();
    if (now >= nextCopy) {
      nextCopy = now + std::chrono::seconds(1);
      aSoak.copies_.push_back(fixture.store_.MakeCopy());
      if (aSoak.copies_.size() > kCopies) {
        aSoak.copies_.erase(aSoak.copies_.begin());
      }
    }
    if (aSoak.hasCrashingRequest_ && aSoak.RandomBelow(20) == 0) {
      SendCrashingRequest(aSoak);
    }
    // About one fault per second, each up to 3 s long, so that faults occur in
    // series and overlap.
    if (aSoak.RandomBelow(25) == 0) {
      ends.emplace(now +
                     std::chrono::milliseconds(100 + aSoak.RandomBelow(2900)),
                   StartFault(aSoak));
    }
    while (!ends.empty() && ends.begin()->first <= now) {
      ends.begin()->second();
      ends.erase(ends.begin());
    }
    fixture.RunFor(0.04);
  }
  for (auto& [time, stop] : ends) {
    stop();
  }
  fixture.store_.faults_ = {};
}

// Sends the request that crashes desks for kSettleSeconds after the faults, and
// checks that the instances refuse it once all of them have to know.
void
CheckCrashingRequest(Soak& aSoak)
{
  PlatformFixture& fixture = aSoak.fixture_;
  const MonotonicTime faultsEnd = fixture.clock_.Now();
  const MonotonicTime end =
    faultsEnd + Duration(Duration::rep(kSettleSeconds * 1e6));
  std::size_t before = 0;
  while (fixture.clock_.Now() < end) {
    SendCrashingRequest(aSoak);
    fixture.RunFor(0.25);
    const auto crashes = fixture.Crashes();
    const bool isKnown =
      crashes.size() >= kCrashesUntilKnown &&
      fixture.clock_.Now() >=
        std::max(crashes[kCrashesUntilKnown - 1], faultsEnd) + kKnownTime;
    if (!isKnown) {
      before = fixture.CountRuns(kCrashingPrefix);
    }
  }
  const std::size_t after = fixture.CountRuns(kCrashingPrefix) - before;
  if (after > kAllowedCrashing) {
    aSoak.violations_.push_back(
      "a request that had crashed three servers reached servers " +
      std::to_string(after) + " times more");
  }
}

// Adds a route and checks that each instance serves it in time.
void
CheckLastChange(Soak& aSoak)
{
  PlatformFixture& fixture = aSoak.fixture_;
  fixture.PutDeployment(++aSoak.version_, { "/last/" });
  fixture.RunFor(kApplySeconds);
  for (std::size_t edge = 0; edge < fixture.edges_.size(); ++edge) {
    const auto run =
      fixture.Ask(edge, "/last/a", "last-" + std::to_string(edge));
    fixture.RunUntil([&] { return run->isDone_; }, kSettleSeconds);
    if (run->status_ != 200) {
      RecordViolation(aSoak,
                      *run,
                      "an added route is answered with " +
                        std::to_string(run->status_) + " " + run->body_);
    }
  }
}

int
RunSeed(std::uint64_t aSeed, double aSeconds, int aEdges)
{
  PlatformFixtureOptions options;
  options.edges_ = aEdges;
  options.engines_ = 3;
  options.desks_ = 3;
  options.events_ = kEvents;
  // A link accepts connections although the server behind it has crashed.
  const bool hasCrashing = aSeed % kCrashingSeedStep == 0;
  options.hasBackendLinks_ = !hasCrashing;
  options.hasStoreLinks_ = true;
  PlatformFixture fixture(options);
  Soak soak{ fixture, std::mt19937_64(aSeed), {}, {}, 0, 0, 1, hasCrashing, {},
             {} };
  if (hasCrashing) {
    fixture.CrashServersOn("", kCrashingBody);
  }
  if (!fixture.WaitReady(kStartTimeoutSeconds)) {
    soak.violations_.emplace_back("the instances did not get ready");
  }
  RunFaults(soak, aSeconds);
  if (hasCrashing) {
    CheckCrashingRequest(soak);
  } else {
    fixture.RunFor(kSettleSeconds);
  }
  const bool isBack = fixture.WaitReady(kStartTimeoutSeconds);
  if (!isBack) {
    soak.violations_.emplace_back(
      "not all instances are ready after the faults");
  }
  CheckLastChange(soak);
  for (const auto& run : soak.runs_) {
    CheckRun(soak, *run);
  }
  for (const std::string& violation : fixture.cloud_.violations_) {
    soak.violations_.push_back(violation);
  }
  std::cout << "seed " << aSeed << ": " << soak.asked_ << " asked, "
            << soak.served_ << " served, " << fixture.cloud_.usage_.size()
            << " usage windows, " << soak.violations_.size() << " violations"
            << std::endl;
  for (const std::string& violation : soak.violations_) {
    std::cout << "  " << violation << std::endl;
  }
  return soak.violations_.empty() ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("platform-soak", "Fault soak with random faults.");
  options.add_options()(
    "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "seeds", "Number of seeds", cxxopts::value<int>()->default_value("1"))(
    "seconds",
    "Time with faults for each seed",
    cxxopts::value<double>()->default_value("15"))(
    "instances", "Entry instances", cxxopts::value<int>()->default_value("3"));
  const auto parsed = options.parse(aCount, aArguments);
  int failed = 0;
  for (int index = 0; index < parsed["seeds"].as<int>(); ++index) {
    failed += RunSeed(parsed["seed"].as<std::uint64_t>() + std::uint64_t(index),
                      parsed["seconds"].as<double>(),
                      parsed["instances"].as<int>());
  }
  return failed == 0 ? 0 : 1;
}
