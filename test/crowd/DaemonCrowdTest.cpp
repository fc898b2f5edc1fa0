// Crowds of clients that misbehave on the callers' and operators' ports of one
// entry instance. Guards against an instance that runs out of memory or
// descriptors, or stops answering ordinary callers, because of what clients
// send or keep open. Each test runs alone; none depends on the speed of the
// machine.

#include "support/Crowd.h"
#include "support/Deployment.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoreward;

namespace {

constexpr std::size_t kMegabyte = 1000 * 1000;
constexpr std::size_t kMemoryBytes = 64 * kMegabyte;
constexpr std::size_t kMaxConnections = 64;
// Descriptors beside those of clients: listening sockets, timers, logs and
// connections to the platform, the peers and the backend servers.
constexpr std::size_t kOtherDescriptors = 64;
constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;

DeploymentOptions
SmallInstance()
{
  DeploymentOptions options;
  options.engines_ = 1;
  options.entries_ = 1;
  options.settings_ =
    "limits:\n  memoryBytes: " + std::to_string(kMemoryBytes) +
    "\n  maxConnections: " + std::to_string(kMaxConnections) + "\n";
  return options;
}

std::size_t
Run(Deployment& aDeployment, Crowd& aCrowd)
{
  return RunCrowd(aDeployment.Loop(), aCrowd, aDeployment.Entry(0).Pid());
}

// Asks like an ordinary caller, which comes back when it is refused.
int
AskLikeACaller(Deployment& aDeployment)
{
  HttpClientRequest request;
  request.address_ = aDeployment.CallerAddress(0);
  request.method_ = HttpMethod::Post;
  request.target_ = "/v1/completions";
  request.headers_ = { { "Authorization",
                         std::string("Bearer ") + kCallerToken },
                       { "Content-Type", "application/json" } };
  request.body_ = R"({"model":"resistance-query","prompt":"p","max_tokens":2})";
  int status = 0;
  constexpr int kTries = 20;
  for (int attempt = 0; attempt < kTries && status != 200; ++attempt) {
    const HttpClientReply reply = aDeployment.Fetch(request);
    status = reply.end_ == HttpEnd::Complete ? reply.status_ : 0;
    if (status != 200) {
      aDeployment.WaitFor([] { return false; }, 1);
    }
  }
  return status;
}

void
ExpectMemoryWithinMachine(Deployment& aDeployment)
{
  ExpectMemoryWithin(aDeployment.Entry(0).Pid(), kMemoryBytes);
}

// Runs a crowd on both ports and expects that the instance stays within its
// memory and answers an ordinary caller beside the crowd.
void
ExpectBoundedMemory(Deployment& aDeployment,
                    std::size_t aClients,
                    const CrowdScript& aScript)
{
  for (const Address& address :
       { aDeployment.CallerAddress(0), aDeployment.OperatorAddress(0) }) {
    Crowd crowd(address, aClients, aScript);
    Run(aDeployment, crowd);
    ExpectMemoryWithinMachine(aDeployment);
    cr_expect_eq(AskLikeACaller(aDeployment), 200);
    ExpectMemoryWithinMachine(aDeployment);
  }
}

std::string
RequestHead(const std::string& aFields)
{
  return "POST /services/certificate-issue/records HTTP/1.1\r\nHost: h\r\n"
         "Authorization: Bearer " +
         std::string(kCallerToken) + "\r\n" + aFields + "\r\n";
}

std::string
ChunkedHead()
{
  return RequestHead("Transfer-Encoding: chunked\r\n");
}

} // namespace

Test(DaemonCrowd, LargeChunksThatStopShortOfTheEnd)
{
  Deployment deployment(SmallInstance());
  const std::string chunk(64 * 1024, 'a');
  ExpectBoundedMemory(deployment,
                      40,
                      { ChunkedHead(),
                        "10000\r\n" + chunk + "\r\n",
                        kBodyBytes / chunk.size() - 1 });
}

Test(DaemonCrowd, TinyChunksThatStopShortOfTheEnd)
{
  Deployment deployment(SmallInstance());
  ExpectBoundedMemory(
    deployment, 60, { ChunkedHead(), "8\r\naaaaaaaa\r\n", 190'000 });
}

// One chunk whose announced size stops short of the limit.
Test(DaemonCrowd, AChunkThatStopsShortOfItsEnd)
{
  Deployment deployment(SmallInstance());
  ExpectBoundedMemory(deployment,
                      40,
                      { ChunkedHead() + "3fff00\r\n",
                        std::string(64 * 1024, 'a'),
                        kBodyBytes / (64 * 1024) - 1 });
}

// The line that announces the size of a chunk never ends.
Test(DaemonCrowd, AChunkSizeWithoutAnEnd)
{
  Deployment deployment(SmallInstance());
  ExpectBoundedMemory(
    deployment, 20, { ChunkedHead() + "1;", std::string(64 * 1024, 'a'), 100 });
}

Test(DaemonCrowd, BodiesFarOverTheLimit)
{
  Deployment deployment(SmallInstance());
  const std::string piece(64 * 1024, 'a');
  ExpectBoundedMemory(
    deployment,
    40,
    { RequestHead("Content-Length: 1000000000000\r\n"), piece, 160 });
  ExpectBoundedMemory(
    deployment, 40, { ChunkedHead(), "10000\r\n" + piece + "\r\n", 160 });
}

// Whole requests of callers that may ask, whose sum exceeds the memory.
Test(DaemonCrowd, WholeLargeBodies)
{
  Deployment deployment(SmallInstance());
  constexpr std::size_t kBytes = 2 * kMegabyte;
  Crowd crowd(
    deployment.CallerAddress(0),
    40,
    { RequestHead("Content-Length: " + std::to_string(kBytes) + "\r\n"),
      std::string(1000, 'a'),
      kBytes / 1000 });
  Run(deployment, crowd);
  cr_expect(RunUntilAnswered(deployment.Loop(), crowd));
  ExpectMemoryWithinMachine(deployment);
  std::size_t served = 0;
  for (const int status : crowd.Statuses()) {
    served += status == 200 ? 1 : 0;
    cr_expect(status == 200 || status == 503, "status %d", status);
  }
  cr_expect_gt(served, 0);
  cr_expect_eq(AskLikeACaller(deployment), 200);
  ExpectMemoryWithinMachine(deployment);
}

// Whole requests whose values take many times their bytes once they are parsed.
Test(DaemonCrowd, SmallValuesInLargeBodies)
{
  Deployment deployment(SmallInstance());
  const std::string start =
    R"({"model":"resistance-query","prompt":"p","max_tokens":2,"x":[)";
  const std::string end = "[]]}";
  // Many small values within the bound of each request, and far more of them.
  for (const std::size_t values : { 20'000, 500'000 }) {
    const std::string value = "{},";
    const std::size_t bytes = start.size() + value.size() * values + end.size();
    std::string request = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                          "Authorization: Bearer ";
    request.append(kCallerToken)
      .append("\r\nContent-Length: ")
      .append(std::to_string(bytes))
      .append("\r\n\r\n")
      .append(start);
    for (std::size_t count = 0; count < values; ++count) {
      request += value;
    }
    request += end;
    Crowd crowd(deployment.CallerAddress(0), 50, { request, "", 0 });
    Run(deployment, crowd);
    ExpectMemoryWithinMachine(deployment);
    cr_expect_eq(AskLikeACaller(deployment), 200);
    ExpectMemoryWithinMachine(deployment);
  }
}

// Clients that ask on and on, on one connection, and read no answer.
Test(DaemonCrowd, AnswersThatAreNotRead)
{
  Deployment deployment(SmallInstance());
  for (const Address& address :
       { deployment.CallerAddress(0), deployment.OperatorAddress(0) }) {
    for (const char* target : { "/metrics", "/v1/addresses" }) {
      Crowd crowd(
        address,
        20,
        { "",
          std::string("GET ") + target + " HTTP/1.1\r\nHost: h\r\n\r\n",
          5000 },
        Crowd::Reading::Never);
      Run(deployment, crowd);
      ExpectMemoryWithinMachine(deployment);
    }
  }
  cr_expect_eq(AskLikeACaller(deployment), 200);
}

Test(DaemonCrowd, SilentConnections)
{
  Deployment deployment(SmallInstance());
  for (const Address& address :
       { deployment.CallerAddress(0), deployment.OperatorAddress(0) }) {
    Crowd crowd(address, 400, { "G", "", 0 });
    const std::size_t descriptors = Run(deployment, crowd);
    cr_expect_gt(descriptors, 0, "the instance has ended");
    cr_expect_leq(descriptors, kMaxConnections + kOtherDescriptors);
    cr_expect_eq(AskLikeACaller(deployment), 200);
  }
}
