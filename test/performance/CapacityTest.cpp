// Measures the control overhead of an entry instance as a function of fleet
// size, with real processes and without callers, and extrapolates it to the
// design size (400 entry instances, 2,600 engines). Guards against control work
// that grows with the fleet.

#include "performance/CapacityReport.h"
#include "routing/LoadPoller.h"
#include "routing/Subset.h"
#include "support/Deployment.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <sstream>

using namespace sycamoreward;

namespace {

constexpr int kSettleSeconds = 10;
constexpr int kMeasureSeconds = 15;
constexpr double kTargetInstances = 400;
constexpr double kTargetServers = 2600;
// Average number of servers that an instance polls at the target size: 100
// groups of 26, each served by 4 of 400 instances.
constexpr double kTargetPolledServers = 26;

using Figures = std::map<std::string, double>;

std::string
ReadMetrics(Deployment& aDeployment, unsigned aEntry)
{
  HttpClientRequest request;
  request.address_ = aDeployment.OperatorAddress(aEntry);
  request.target_ = "/metrics";
  return aDeployment.Fetch(request).body_;
}

// Parses a metrics page; returns its samples by name and labels.
Figures
ParseMetrics(const std::string& aText)
{
  Figures figures;
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t end = line.rfind(' ');
    if (!line.empty() && line[0] != '#' && end != std::string::npos) {
      figures[line.substr(0, end)] = std::stod(line.substr(end + 1));
    }
  }
  return figures;
}

double
SumOf(const Figures& aFigures, const std::string& aPrefix)
{
  double sum = 0;
  for (const auto& [name, value] : aFigures) {
    sum += name.compare(0, aPrefix.size(), aPrefix) == 0 ? value : 0;
  }
  return sum;
}

// Returns the resources that one instance has used since it started.
InstanceUse
UseOf(Deployment& aDeployment, unsigned aEntry)
{
  const Figures figures = ParseMetrics(ReadMetrics(aDeployment, aEntry));
  InstanceUse use;
  use.processorSeconds_ = SumOf(figures, "process_cpu_seconds_total");
  use.residentBytes_ = SumOf(figures, "process_resident_memory_bytes");
  use.peerBytes_ = SumOf(figures, "sycamoreward_peer_bytes");
  use.peerMessages_ = SumOf(figures, "sycamoreward_peer_messages");
  use.controlBytes_ =
    SumOf(figures, "sycamoreward_http_bytes{direction=\"sent\",use=\"control") +
    SumOf(figures,
          "sycamoreward_http_bytes{direction=\"received\",use=\"control");
  use.storeBytes_ =
    SumOf(figures, "sycamoreward_http_bytes{direction=\"sent\",use=\"store") +
    SumOf(figures,
          "sycamoreward_http_bytes{direction=\"received\",use=\"store");
  use.polledServers_ = SumOf(figures, "sycamoreward_polled_servers");
  return use;
}

std::vector<InstanceUse>
AllUses(Deployment& aDeployment)
{
  std::vector<InstanceUse> uses;
  for (unsigned entry = 0; entry < aDeployment.Entries(); ++entry) {
    uses.push_back(UseOf(aDeployment, entry));
  }
  return uses;
}

void
Pass(Deployment& aDeployment, double aSeconds)
{
  aDeployment.Loop().RunUntil(
    [] { return false; },
    std::chrono::milliseconds(static_cast<int>(aSeconds * 1000)));
}

struct TableUse
{
  double reads_ = 0;
  double writes_ = 0;
};

TableUse
ReadTableUse(Deployment& aDeployment)
{
  const auto counters =
    aDeployment.Get(aDeployment.PlatformAddress(), "/counters");
  return { counters.at("tableReads"), counters.at("tableWrites") };
}

// Runs aWork and returns the rates of the instances during that time.
Sample
Measure(Deployment& aDeployment, const std::function<void()>& aWork)
{
  const auto start = std::chrono::steady_clock::now();
  const TableUse tableBefore = ReadTableUse(aDeployment);
  const auto before = AllUses(aDeployment);
  aWork();
  const auto after = AllUses(aDeployment);
  const TableUse tableAfter = ReadTableUse(aDeployment);
  const double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  Sample sample = MeanOf(before, after, seconds);
  sample.tableReads_ = (tableAfter.reads_ - tableBefore.reads_) / seconds;
  sample.tableWrites_ = (tableAfter.writes_ - tableBefore.writes_) / seconds;
  return sample;
}

DeploymentOptions
Size(unsigned aInstances, unsigned aEngines)
{
  DeploymentOptions options;
  options.entries_ = aInstances;
  options.engines_ = aEngines;
  options.services_ = 0;
  options.hasOneEngineProcess_ = true;
  return options;
}

Sample
MeasureIdle(unsigned aInstances, unsigned aEngines)
{
  Deployment deployment(Size(aInstances, aEngines));
  Pass(deployment, kSettleSeconds);
  Sample sample =
    Measure(deployment, [&] { Pass(deployment, kMeasureSeconds); });
  sample.instances_ = aInstances;
  sample.servers_ = aEngines;
  PrintSample(sample);
  return sample;
}

// Commits aRate new resources per second, one at a time, for aSeconds. Returns
// how many were accepted.
unsigned
ChangeConfiguration(Deployment& aDeployment, unsigned aRate, int aSeconds)
{
  static unsigned next = 0;
  const auto start = std::chrono::steady_clock::now();
  unsigned accepted = 0;
  for (unsigned change = 0; change < aRate * unsigned(aSeconds); ++change) {
    const std::string name = "office-" + std::to_string(next++);
    const int status = aDeployment.PutResource(
      change % aDeployment.Entries(),
      { { "kind", "Workspace" },
        { "metadata", { { "name", name } } },
        { "spec",
          { { "share", 1 }, { "tokenDigests", { std::string(64, 'a') } } } } });
    accepted += status == 201 ? 1 : 0;
    const auto due =
      start + std::chrono::duration<double>((change + 1.0) / aRate);
    const double remaining =
      std::chrono::duration<double>(due - std::chrono::steady_clock::now())
        .count();
    if (remaining > 0) {
      Pass(aDeployment, remaining);
    }
  }
  return accepted;
}

// Prints the cost of a single change, measured at the lowest rate. Heartbeats
// are sent at most ten times per second, so the cost per change falls at higher
// rates.
void
PrintOneChange(const std::vector<Sample>& aBefore, const Sample& aSample)
{
  if (aBefore.empty()) {
    return;
  }
  const Sample& idle = aBefore.front();
  const auto forOne = [&](double Sample::*aValue) {
    return (aSample.*aValue - idle.*aValue) / aSample.changes_;
  };
  std::printf("one change: %.0f peer B, %.1f messages, %.2f ms of processor "
              "time, %.1f table reads of all\n",
              forOne(&Sample::peerBytes_),
              forOne(&Sample::peerMessages_),
              forOne(&Sample::processor_) * 10,
              forOne(&Sample::tableReads_));
}

} // namespace

Test(Capacity, OverEntryInstances, .timeout = 600)
{
  std::vector<Sample> samples;
  for (const unsigned instances : { 6U, 12U, 24U, 48U }) {
    samples.push_back(MeasureIdle(instances, 26));
  }
  // With 6 instances, each has only 5 neighbours, which would skew the line.
  const std::vector<Sample> fittedSamples(samples.begin() + 1, samples.end());
  const auto lines = FitAll(
    fittedSamples, [](const Sample& aSample) { return aSample.instances_; });
  PrintLines("entry instances", lines, kTargetInstances);
  // A tenth of a heartbeat per additional instance would exceed this bound.
  cr_assert_lt(lines.at("peer messages/s").At(kTargetInstances), 60);
}

Test(Capacity, OverEngines, .timeout = 600)
{
  std::vector<Sample> samples;
  for (const unsigned engines : { 20U, 80U, 320U, 650U }) {
    samples.push_back(MeasureIdle(12, engines));
  }
  // An instance makes at most kMaxPolls polls per second, so including larger
  // subsets would underestimate the slope.
  std::vector<Sample> unbounded;
  std::copy_if(samples.begin(),
               samples.end(),
               std::back_inserter(unbounded),
               [](const Sample& aSample) {
                 return aSample.maxPolled_ <= double(LoadPoller::kMaxPolls);
               });
  PrintLines(
    "polled engines",
    FitAll(unbounded, [](const Sample& aSample) { return aSample.polled_; }),
    kTargetPolledServers);
  PrintLines(
    "listed engines",
    FitAll(samples, [](const Sample& aSample) { return aSample.servers_; }),
    kTargetServers);
}

Test(Capacity, OverChanges, .timeout = 600)
{
  constexpr int kSeconds = 10;
  Deployment deployment(Size(12, 26));
  Pass(deployment, kSettleSeconds);
  std::vector<Sample> samples;
  for (const unsigned rate : { 0U, 5U, 10U, 20U }) {
    unsigned accepted = 0;
    Sample sample = Measure(deployment, [&] {
      if (rate == 0) {
        Pass(deployment, kSeconds);
      }
      accepted = ChangeConfiguration(deployment, rate, kSeconds);
    });
    sample.instances_ = 12;
    sample.servers_ = 26;
    sample.changes_ = double(accepted) / sample.seconds_;
    PrintOneChange(samples, sample);
    std::printf("%u changes/s asked, %.2f/s accepted\n", rate, sample.changes_);
    PrintSample(sample);
    samples.push_back(sample);
  }
  PrintLines(
    "changes/s",
    FitAll(samples, [](const Sample& aSample) { return aSample.changes_; }),
    3500.0 / 86400);
}

// Checks how evenly the servers of one pool are spread at the target size. The
// instance with the most polls decides whether the bound holds for every
// instance.
Test(Capacity, SubsetsAtFullSize)
{
  std::vector<InstanceId> instances;
  instances.reserve(std::size_t(kTargetInstances));
  for (int index = 0; index < int(kTargetInstances); ++index) {
    instances.emplace_back("entry-" + std::to_string(index));
  }
  std::vector<Server> servers(std::size_t{ 2600 });
  for (std::size_t index = 0; index < servers.size(); ++index) {
    servers[index].id_ = ServerId("engine-" + std::to_string(index));
  }
  std::vector<std::size_t> sizes;
  std::size_t sum = 0;
  for (const InstanceId& instance : instances) {
    sizes.push_back(ChooseSubset(instance, instances, servers).size());
    sum += sizes.back();
  }
  std::sort(sizes.begin(), sizes.end());
  std::printf("polled servers at 400 instances and 2,600 engines: mean %.1f, "
              "median %zu, 95th percentile %zu, highest %zu\n",
              double(sum) / double(sizes.size()),
              sizes[sizes.size() / 2],
              sizes[sizes.size() * 95 / 100],
              sizes.back());
  cr_assert_leq(sizes.back(), LoadPoller::kMaxPolls);
}
