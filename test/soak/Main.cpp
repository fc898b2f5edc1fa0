// Fault soak: entry instances as processes before stand-ins, with faults from
// outside in random order and overlapping, while callers go on asking. Checks
// what callers and backend servers see. One seed gives one order of faults.

#include "support/PlatformWorld.h"

#include <cxxopts.hpp>

#include <iostream>
#include <random>
#include <set>

using namespace sycamoreward;
using standin::BackendFault;
using standin::BackendStandIn;

namespace {

constexpr int kEvents = 6;
constexpr double kStart = 20;
// Time for answers and reports after the last fault.
constexpr double kSettle = 8;

struct Soak
{
  PlatformWorld& world_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<CallerRun>> runs_;
  std::vector<std::string> violations_;
  int asked_ = 0;
  int served_ = 0;
  std::uint64_t version_ = 1;

  std::uint64_t Below(std::uint64_t aBound) { return random_() % aBound; }
};

const char*
RandomPath(Soak& aSoak)
{
  constexpr const char* kPaths[] = { PlatformWorld::kResumable,
                                     PlatformWorld::kStream,
                                     PlatformWorld::kOnce,
                                     PlatformWorld::kRepeatable };
  return kPaths[aSoak.Below(4)];
}

void
Ask(Soak& aSoak)
{
  const std::string id = "soak-" + std::to_string(aSoak.asked_++);
  auto run = aSoak.world_.Ask(
    aSoak.Below(aSoak.world_.edges_.size()), RandomPath(aSoak), id);
  aSoak.runs_.push_back(run);
  // Some callers leave before their answer.
  if (aSoak.Below(20) == 0) {
    aSoak.world_.loop_.CallAfter(std::chrono::milliseconds(aSoak.Below(30)),
                                 [run] {
                                   run->channel_->Cut();
                                   run->isDone_ = true;
                                   run->status_ = -1;
                                 });
  }
}

// Starts a fault and returns how to end it.
std::function<void()>
StartFault(Soak& aSoak)
{
  PlatformWorld& world = aSoak.world_;
  const std::size_t edge = aSoak.Below(world.edges_.size());
  switch (aSoak.Below(9)) {
    case 0:
      world.edges_[edge]->Kill();
      return [&world, edge] { world.StartEdge(edge); };
    case 1:
      world.edges_[edge]->Freeze();
      return [&world, edge] { world.edges_[edge]->Thaw(); };
    case 2:
      world.edges_[edge]->Terminate();
      return [&world, edge] { world.StartEdge(edge); };
    case 3: {
      CuttableLink* link = world.storeLinks_[edge].get();
      constexpr LinkMode kModes[] = { LinkMode::SilenceOpen,
                                      LinkMode::SilenceAll,
                                      LinkMode::DropReplies,
                                      LinkMode::Cut };
      link->SetMode(kModes[aSoak.Below(4)]);
      return [link] { link->SetMode(LinkMode::Pass); };
    }
    case 4: {
      auto link = world.backendLinks_.begin();
      std::advance(link, aSoak.Below(world.backendLinks_.size()));
      constexpr LinkMode kModes[] = { LinkMode::SilenceOpen, LinkMode::Cut };
      CuttableLink* cut = link->second.get();
      cut->SetMode(kModes[aSoak.Below(2)]);
      return [cut] { cut->SetMode(LinkMode::Pass); };
    }
    case 5: {
      auto& list = aSoak.Below(2) == 0 ? world.engines_ : world.desks_;
      BackendStandIn* backend = list[aSoak.Below(list.size())].get();
      constexpr BackendFault kFaults[] = {
        BackendFault::NotRun, BackendFault::CutBefore, BackendFault::CutWithin,
        BackendFault::Silent, BackendFault::Error,     BackendFault::OtherServer
      };
      backend->fault_ = kFaults[aSoak.Below(6)];
      return [backend] { backend->fault_ = BackendFault::None; };
    }
    case 6: {
      auto& faults = world.store_.faults_;
      (aSoak.Below(2) == 0 ? faults.isBusy_ : faults.isSilent_) = true;
      return [&faults] { faults.isBusy_ = faults.isSilent_ = false; };
    }
    case 7:
      world.store_.faults_.lostWrites_ += 2;
      world.store_.DropHistory();
      return [] {};
    default: {
      world.PutDeployment(++aSoak.version_, { "/extra/" });
      const BackendStandIn& desk = *world.desks_[0];
      world.ListBackend(desk, "draining");
      return [&world, &desk] { world.ListBackend(desk, "ready"); };
    }
  }
}

void
Violate(Soak& aSoak, const CallerRun& aRun, const std::string& aWhat)
{
  aSoak.violations_.push_back(aRun.request_ + " on " + aRun.path_ + ": " +
                              aWhat);
}

void
CheckRun(Soak& aSoak, const CallerRun& aRun)
{
  const auto runs = aSoak.world_.RunsOf(aRun.request_);
  const std::string path = aRun.path_;
  const bool isRepeatable =
    path == PlatformWorld::kRepeatable || path == PlatformWorld::kResumable;
  const int events =
    path == PlatformWorld::kResumable || path == PlatformWorld::kStream
      ? kEvents
      : 0;
  if (runs.size() > (isRepeatable ? 2u : 1u)) {
    Violate(aSoak, aRun, "ran " + std::to_string(runs.size()) + " times");
  }
  for (const auto& run : runs) {
    if (run.hasKey_ || run.workspace_ != "one" || run.target_ != path ||
        run.body_ != "body of " + aRun.request_) {
      Violate(aSoak, aRun, "reached a server changed");
    }
  }
  if (aRun.status_ == 200 && aRun.isWhole_) {
    ++aSoak.served_;
    if (aRun.body_ != BackendStandIn::AnswerBody(aRun.request_, events) ||
        aRun.signature_ != "sig-" + aRun.request_) {
      Violate(aSoak, aRun, "got another body: " + aRun.body_);
    }
  }
  const bool isCalledNotRun = aRun.status_ == 503 || aRun.status_ == 429;
  if (isCalledNotRun && !runs.empty()) {
    Violate(aSoak, aRun, "ran and was called not run");
  }
  if (!aRun.isDone_) {
    Violate(aSoak, aRun, "has no end");
  }
}

void
RunFaults(Soak& aSoak, double aSeconds)
{
  PlatformWorld& world = aSoak.world_;
  const MonotonicTime end =
    world.clock_.Now() + Duration(Duration::rep(aSeconds * 1e6));
  std::multimap<MonotonicTime, std::function<void()>> ends;
  while (world.clock_.Now() < end) {
    Ask(aSoak);
    const MonotonicTime now = world.clock_.Now();
    // About a fault a second, of up to 3 s: they come in series and overlap.
    if (aSoak.Below(25) == 0) {
      ends.emplace(now + std::chrono::milliseconds(100 + aSoak.Below(2900)),
                   StartFault(aSoak));
    }
    while (!ends.empty() && ends.begin()->first <= now) {
      ends.begin()->second();
      ends.erase(ends.begin());
    }
    world.RunFor(0.04);
  }
  for (auto& [time, stop] : ends) {
    stop();
  }
  world.store_.faults_ = {};
}

int
RunSeed(std::uint64_t aSeed, double aSeconds, int aEdges)
{
  PlatformWorldOptions options;
  options.edges_ = aEdges;
  options.engines_ = 3;
  options.desks_ = 3;
  options.events_ = kEvents;
  options.hasBackendLinks_ = true;
  options.hasStoreLinks_ = true;
  PlatformWorld world(options);
  Soak soak{ world, std::mt19937_64(aSeed), {}, {}, 0, 0, 1 };
  if (!world.WaitReady(kStart)) {
    soak.violations_.emplace_back("the instances did not get ready");
  }
  RunFaults(soak, aSeconds);
  world.RunFor(kSettle);
  const bool isBack = world.WaitReady(kStart);
  if (!isBack) {
    soak.violations_.emplace_back(
      "not all instances are ready after the faults");
  }
  for (const auto& run : soak.runs_) {
    CheckRun(soak, *run);
  }
  for (const std::string& violation : world.cloud_.violations_) {
    soak.violations_.push_back(violation);
  }
  std::cout << "seed " << aSeed << ": " << soak.asked_ << " asked, "
            << soak.served_ << " served, " << world.cloud_.usage_.size()
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
