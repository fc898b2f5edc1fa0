#pragma once

// Entry instances as processes, before stand-ins of the platform's store, its
// calls and backend servers that run in the test itself, and callers that
// record what they get.

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

// One request of a caller and what came back.
struct CallerRun
{
  std::string request_;
  std::string path_;
  // 0 while there is no answer.
  int status_ = 0;
  std::string body_;
  std::string signature_;
  std::string retryAfter_;
  // The answer ended in the way that its head announced.
  bool isWhole_ = false;
  bool isDone_ = false;
  // The caller closes after its request was sent.
  std::shared_ptr<http::BackendChannel> channel_;
};

struct PlatformFixtureOptions
{
  int edges_ = 2;
  int engines_ = 2;
  int desks_ = 2;
  // Events of an engine's stream.
  int events_ = 6;
  // The addresses of backend servers in the store are those of a link that the
  // test can cut.
  bool hasBackendLinks_ = false;
  // The instances' log lines can be read from edges_.
  bool keepsLogs_ = false;
  // The same for the store, one link for each instance.
  bool hasStoreLinks_ = false;
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
  // Whether the instance says that it is ready; runs the loop.
  bool IsReady(std::size_t aIndex);
  // Waits until all instances are ready. False after aSeconds.
  bool WaitReady(double aSeconds);
  Address CallerAddress(std::size_t aIndex) const;

  // The paths of the routes: a resumable stream, a stream that runs once, an
  // unrepeatable and a repeatable plain request.
  static constexpr const char* kResumable = "/resumable/a";
  static constexpr const char* kStream = "/stream/a";
  static constexpr const char* kOnce = "/once/a";
  static constexpr const char* kRepeatable = "/repeatable/a";
  static constexpr const char* kKey = "key-one";

  // Sends a request; the answer comes while the loop runs.
  std::shared_ptr<CallerRun> Ask(std::size_t aEdge,
                                 const std::string& aPath,
                                 const std::string& aRequest,
                                 const std::string& aKey = kKey);
  // A GET at another address of an instance, with its answer.
  std::string Get(const Address& aAddress, const std::string& aTarget);

  // Writes a deployment whose routes have the given version and, besides, a
  // route for each of aExtraRoutes.
  void PutDeployment(std::uint64_t aVersion,
                     const std::vector<std::string>& aExtraRoutes = {});
  void ListBackend(const standin::BackendStandIn& aBackend, const char* aState);
  // Runs of a request over all servers.
  std::vector<standin::BackendRun> RunsOf(const std::string& aRequest) const;

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
