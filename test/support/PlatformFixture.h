#pragma once

// Test fixture that runs entry instances as child processes. The stand-ins for
// the platform's store, its calls and the backend servers run in the test
// process, as do callers that record their answers.

#include "http/BackendChannel.h"
#include "platformapi/BackendStandIn.h"
#include "platformapi/CloudStandIn.h"
#include "platformapi/StoreStandIn.h"
#include "runtime/EventLoop.h"
#include "support/ChildProcess.h"
#include "support/CuttableLink.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

// A request of a caller and the answer to it.
struct CallerRun
{
  std::string request_;
  std::string path_;
  // HTTP status; 0 until an answer arrives.
  int status_ = 0;
  std::string body_;
  std::string signature_;
  std::string retryAfter_;
  // Whether the answer is complete according to its head.
  bool isWhole_ = false;
  bool isDone_ = false;
  // The caller's connection. Tests cut it to simulate a caller that closes
  // after its request was sent.
  std::shared_ptr<http::BackendChannel> channel_;
};

struct PlatformFixtureOptions
{
  int edges_ = 2;
  int engines_ = 2;
  int desks_ = 2;
  // Number of events in an engine's stream.
  int events_ = 6;
  // Connects to backend servers through links that the test can cut; the store
  // lists the addresses of the links.
  bool hasBackendLinks_ = false;
  // Keeps the log output of the instances, to be read from edges_.
  bool keepsLogs_ = false;
  // Connects each instance to the store through a link that the test can cut.
  bool hasStoreLinks_ = false;
  // Memory, in megabytes, and descriptors of each instance's machine. The
  // settings leave out what is 0.
  int memoryMegabytes_ = 0;
  int maxDescriptors_ = 0;
  // Limits of a caller's request in the deployment.
  int maxHeaderBytes_ = 16384;
  int maxBodyBytes_ = 100000;
  int requestTimeoutMs_ = 1000;
};

class PlatformFixture
{
public:
  explicit PlatformFixture(const PlatformFixtureOptions& aOptions);
  ~PlatformFixture();

  // Runs the loop until aDone or for aSeconds; returns whether aDone holds.
  bool RunUntil(const std::function<bool()>& aDone, double aSeconds);
  void RunFor(double aSeconds);

  void StartEdge(std::size_t aIndex);
  // Runs the loop to query whether the instance reports that it is ready.
  bool IsReady(std::size_t aIndex);
  // Waits until all instances are ready. Returns false after aSeconds.
  bool WaitReady(double aSeconds);
  Address CallerAddress(std::size_t aIndex) const;

  // Paths of the routes: a resumable stream, a stream that runs only once, an
  // unrepeatable plain request and a repeatable one.
  static constexpr const char* kResumable = "/resumable/a";
  static constexpr const char* kStream = "/stream/a";
  static constexpr const char* kOnce = "/once/a";
  static constexpr const char* kRepeatable = "/repeatable/a";
  static constexpr const char* kKey = "key-one";

  // Sends a request, on aKept if it can be reused and otherwise on a new
  // connection. The answer is received while the loop runs.
  std::shared_ptr<CallerRun> Ask(
    std::size_t aEdge,
    const std::string& aPath,
    const std::string& aRequest,
    const std::string& aKey = kKey,
    const std::shared_ptr<http::BackendChannel>& aKept = nullptr);
  // Sends a GET request to another address of an instance; returns the
  // status and body of the answer.
  std::string Get(const Address& aAddress, const std::string& aTarget);

  // Writes a deployment whose routes have the given version, with an additional
  // route for each of aExtraRoutes.
  void PutDeployment(std::uint64_t aVersion,
                     const std::vector<std::string>& aExtraRoutes = {});
  void ListBackend(const standin::BackendStandIn& aBackend, const char* aState);
  // Lists a server that is no BackendStandIn.
  void ListServer(const std::string& aId,
                  const char* aService,
                  const Address& aAddress);
  // Returns the executions of a request at all servers.
  std::vector<standin::BackendRun> RunsOf(const std::string& aRequest) const;

  // Lets every server crash under requests whose prompt has aPart, or whose
  // body is aBody. The entry of a crashed server is replaced when it runs
  // again.
  void CrashServersOn(const std::string& aPart, const std::string& aBody);
  // Returns when servers crashed, in order.
  std::vector<MonotonicTime> Crashes() const;
  // Returns how many requests servers ran whose ids begin with aPrefix.
  std::size_t CountRuns(const std::string& aPrefix) const;

  // Body of requests; one that names the request if empty.
  std::string body_;
  // Parts of the prompts of requests, "ID:TOKENS,..."; none if empty.
  std::string parts_;
  // HTTP version of requests: HTTP/1.1 or HTTP/1.0.
  std::string callerVersion_ = "HTTP/1.1";
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  standin::StoreStandIn store_{ loop_ };
  standin::CloudStandIn cloud_{ loop_ };
  std::vector<std::unique_ptr<standin::BackendStandIn>> engines_;
  std::vector<std::unique_ptr<standin::BackendStandIn>> desks_;
  std::vector<std::unique_ptr<ChildProcess>> edges_;
  std::map<std::string, std::unique_ptr<CuttableLink>> backendLinks_;
  std::vector<std::unique_ptr<CuttableLink>> storeLinks_;

private:
  struct EdgePorts
  {
    std::uint16_t callers_ = 0;
    std::uint16_t readiness_ = 0;
    std::uint16_t addresses_ = 0;
    std::uint16_t inner_ = 0;
    std::uint16_t metrics_ = 0;
  };

public:
  const std::vector<EdgePorts>& Ports() const { return ports_; }

private:
  void AddBackends(
    int aCount,
    const char* aService,
    int aEvents,
    std::vector<std::unique_ptr<standin::BackendStandIn>>& aList);
  std::string Settings(std::size_t aIndex) const;

  PlatformFixtureOptions options_;
  std::vector<EdgePorts> ports_;
  std::string directory_;
};

} // namespace sycamoreward
