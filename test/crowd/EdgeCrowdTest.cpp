// Crowds of clients that misbehave on the ports of one entry instance on the
// platform. Guards against an instance that runs out of memory or descriptors,
// or stops answering ordinary callers, because of what clients send, keep open
// or don't read. The bounds are those of the machine in the settings. Each test
// runs alone; none depends on the speed of the machine.

#include "support/Crowd.h"
#include "support/PlatformFixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace sycamoreward;

namespace {

constexpr double kStartTimeoutSeconds = 30;
constexpr int kMegabyte = 1000 * 1000;

// A machine with a third of the memory of the smallest one in use.
PlatformFixtureOptions
SmallMachine()
{
  PlatformFixtureOptions options;
  options.edges_ = 1;
  options.memoryMegabytes_ = 48;
  options.maxBodyBytes_ = 4 * 1024 * 1024;
  options.requestTimeoutMs_ = 60'000;
  return options;
}

std::string
RequestHead(const std::string& aPath, const std::string& aFields)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: office.example\r\nX-Deadline-Ms: 60000\r\n"
         "X-Request-Id: crowd\r\nApi-Key: " +
         PlatformFixture::kKey + "\r\n" + aFields + "\r\n";
}

std::string
ChunkedHead()
{
  return RequestHead(PlatformFixture::kRepeatable,
                     "Transfer-Encoding: chunked\r\n");
}

// Chunks of 64 KiB that stop short of the last one.
CrowdScript
LargeChunks(std::size_t aBytes)
{
  const std::string chunk(64 * 1024, 'a');
  return { ChunkedHead(), "10000\r\n" + chunk + "\r\n", aBytes / chunk.size() };
}

// Chunks of one byte that stop short of the last one.
CrowdScript
TinyChunks(std::size_t aBytes)
{
  return { ChunkedHead(), "1\r\na\r\n", aBytes };
}

Address
Local(std::uint16_t aPort)
{
  return { "127.0.0.1", aPort };
}

std::size_t
Run(PlatformFixture& aWorld, Crowd& aCrowd)
{
  return RunCrowd(aWorld.loop_, aCrowd, aWorld.edges_[0]->Pid());
}

// Asks like an ordinary caller, which comes back when it is told to.
int
AskLikeACaller(PlatformFixture& aWorld, const std::string& aRequest)
{
  int status = 0;
  constexpr int kTries = 20;
  for (int attempt = 0; attempt < kTries && status != 200; ++attempt) {
    const auto run = aWorld.Ask(
      0, PlatformFixture::kRepeatable, aRequest + std::to_string(attempt));
    aWorld.RunUntil([&] { return run->isDone_; }, kStartTimeoutSeconds);
    status = run->isWhole_ ? run->status_ : 0;
    if (status != 200) {
      const double wait =
        run->retryAfter_.empty() ? 0.2 : std::stod(run->retryAfter_);
      aWorld.RunFor(wait);
    }
  }
  return status;
}

void
ExpectMemoryWithinMachine(PlatformFixture& aWorld,
                          const PlatformFixtureOptions& aOptions)
{
  ExpectMemoryWithin(aWorld.edges_[0]->Pid(),
                     std::size_t(aOptions.memoryMegabytes_) * kMegabyte);
}

// Runs a crowd on a port of a small machine and expects that the instance stays
// within its memory and answers an ordinary caller beside the crowd.
void
ExpectBoundedMemory(PlatformFixture& aWorld,
                    const PlatformFixtureOptions& aOptions,
                    const Address& aAddress,
                    std::size_t aClients,
                    const CrowdScript& aScript,
                    Crowd::Reading aReading)
{
  Crowd crowd(aAddress, aClients, aScript, aReading);
  Run(aWorld, crowd);
  ExpectMemoryWithinMachine(aWorld, aOptions);
  cr_expect_eq(AskLikeACaller(aWorld, "ordinary-"), 200);
  ExpectMemoryWithinMachine(aWorld, aOptions);
}

} // namespace

Test(EdgeCrowd, LargeChunksThatStopShortOfTheEnd)
{
  const PlatformFixtureOptions options = SmallMachine();
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  ExpectBoundedMemory(world,
                      options,
                      world.CallerAddress(0),
                      40,
                      LargeChunks(std::size_t(options.maxBodyBytes_) - 1),
                      Crowd::Reading::Always);
}

Test(EdgeCrowd, TinyChunksThatStopShortOfTheEnd)
{
  const PlatformFixtureOptions options = SmallMachine();
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  ExpectBoundedMemory(world,
                      options,
                      world.CallerAddress(0),
                      96,
                      TinyChunks(kMegabyte),
                      Crowd::Reading::Always);
}

// The ports for addresses, readiness and metrics have no use for a body.
Test(EdgeCrowd, ChunksOnThePortsWithoutBodies)
{
  const PlatformFixtureOptions options = SmallMachine();
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  const auto& ports = world.Ports()[0];
  for (const std::uint16_t port :
       { ports.addresses_, ports.readiness_, ports.metrics_ }) {
    ExpectBoundedMemory(world,
                        options,
                        Local(port),
                        20,
                        LargeChunks(std::size_t(options.maxBodyBytes_) - 1),
                        Crowd::Reading::Always);
  }
  cr_expect(world.IsReady(0));
}

Test(EdgeCrowd, BodiesFarOverTheLimit)
{
  const PlatformFixtureOptions options = SmallMachine();
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  const CrowdScript announced{ RequestHead(PlatformFixture::kRepeatable,
                                           "Content-Length: 1000000000000\r\n"),
                               std::string(64 * 1024, 'a'),
                               160 };
  for (const CrowdScript& script : { announced, LargeChunks(10 * kMegabyte) }) {
    ExpectBoundedMemory(world,
                        options,
                        world.CallerAddress(0),
                        40,
                        script,
                        Crowd::Reading::Always);
  }
}

Test(EdgeCrowd, HeadsWithoutAnEnd)
{
  PlatformFixtureOptions options = SmallMachine();
  options.maxHeaderBytes_ = 256 * 1024;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  ExpectBoundedMemory(
    world,
    options,
    world.CallerAddress(0),
    250,
    { "POST / HTTP/1.1\r\nHost: h\r\nX-A: ", std::string(1000, 'a'), 250 },
    Crowd::Reading::Always);
}

// The sum of the bodies exceeds the memory, but each request is whole and the
// backend servers are slow.
Test(EdgeCrowd, WholeLargeBodiesAtSlowServers)
{
  const PlatformFixtureOptions options = SmallMachine();
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  for (auto& desk : world.desks_) {
    desk->firstDelay_ = std::chrono::milliseconds(2500);
  }
  const std::size_t bytes = 2 * kMegabyte;
  Crowd crowd(
    world.CallerAddress(0),
    40,
    { RequestHead(PlatformFixture::kOnce,
                  "Content-Length: " + std::to_string(bytes) + "\r\n"),
      std::string(1000, 'a'),
      bytes / 1000 });
  Run(world, crowd);
  ExpectMemoryWithinMachine(world, options);
  cr_expect_eq(AskLikeACaller(world, "beside-"), 200);
  cr_expect(RunUntilAnswered(world.loop_, crowd));
  std::size_t served = 0;
  std::size_t refused = 0;
  for (const int status : crowd.Statuses()) {
    served += status == 200 ? 1 : 0;
    refused += status == 503 ? 1 : 0;
  }
  cr_expect_gt(served, 0);
  // Each one has an outcome, and what is refused has not run.
  cr_expect_eq(served + refused, 40);
  cr_expect_eq(world.CountRuns("crowd"), served);
  for (auto& desk : world.desks_) {
    desk->firstDelay_ = std::chrono::milliseconds(2);
  }
  cr_expect_eq(AskLikeACaller(world, "ordinary-"), 200);
  ExpectMemoryWithinMachine(world, options);
}

// Clients that ask on and on, on one connection, and read no answer.
Test(EdgeCrowd, AnswersThatAreNotRead)
{
  PlatformFixtureOptions options = SmallMachine();
  options.memoryMegabytes_ = 24;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  const auto& ports = world.Ports()[0];
  ExpectBoundedMemory(world,
                      options,
                      Local(ports.metrics_),
                      20,
                      { "", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 2000 },
                      Crowd::Reading::Never);
  ExpectBoundedMemory(world,
                      options,
                      world.CallerAddress(0),
                      50,
                      { "", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 30'000 },
                      Crowd::Reading::Never);
}

// Each port in turn gets far more connections than the machine has descriptors.
Test(EdgeCrowd, SilentConnections)
{
  PlatformFixtureOptions options = SmallMachine();
  options.maxDescriptors_ = 300;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  const auto& ports = world.Ports()[0];
  for (const std::uint16_t port :
       { ports.callers_, ports.addresses_, ports.readiness_, ports.metrics_ }) {
    Crowd crowd(Local(port), 600, { "G", "", 0 });
    const std::size_t descriptors = Run(world, crowd);
    cr_expect_gt(descriptors, 0, "the instance has ended");
    cr_expect_leq(descriptors, std::size_t(options.maxDescriptors_));
    cr_expect_eq(AskLikeACaller(world, "ordinary-"), 200);
    cr_expect(world.IsReady(0));
    cr_expect_leq(OpenDescriptors(world.edges_[0]->Pid()),
                  std::size_t(options.maxDescriptors_));
  }
}

// Connections that are refused, one after the other, leave no descriptors
// behind, although their clients keep them open.
Test(EdgeCrowd, ConnectionsAfterConnections)
{
  PlatformFixtureOptions options = SmallMachine();
  options.maxDescriptors_ = 300;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  std::vector<std::unique_ptr<Crowd>> crowds;
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    crowds.push_back(
      std::make_unique<Crowd>(world.CallerAddress(0),
                              100,
                              CrowdScript{ "GET / HTTP/9.9\r\n\r\n", "", 0 }));
    const std::size_t descriptors = Run(world, *crowds.back());
    cr_expect_gt(descriptors, 0, "the instance has ended");
    cr_expect_leq(descriptors, std::size_t(options.maxDescriptors_));
  }
  cr_expect_eq(AskLikeACaller(world, "ordinary-"), 200);
}
