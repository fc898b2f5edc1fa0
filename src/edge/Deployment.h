#pragma once

// The configuration declared by the operators, as used by the request path:
// routes, services, workspaces and the limits of callers.

#include "base/Clock.h"
#include "base/Ids.h"
#include "http/CallerServer.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward::edge {

// Whether and how often a request on the route may run.
enum class RouteKind
{
  // May run more than once.
  Idempotent,
  // Runs at most once.
  Once,
  // An event stream; runs at most once unless the route is resumable.
  Stream
};

// A service that receives a share of the requests of a route.
struct WeightedService
{
  ServiceName service_;
  double weight_ = 1;
};

struct Route
{
  std::string name_;
  std::string host_;
  // Path prefix that starts and ends with a slash.
  std::string prefix_;
  RouteKind kind_ = RouteKind::Once;
  // Maximum time until the whole answer has been sent.
  Duration timeout_ = std::chrono::seconds(5);
  // Time to the whole answer, or to the first event of a stream, within which
  // the answer has its full value.
  Duration objective_ = std::chrono::seconds(1);
  // Maximum pause between events for a stream to count as on time.
  Duration maxPause_ = std::chrono::seconds(1);
  // 0 is the most urgent.
  int priority_ = 5;
  std::uint32_t maxAttempts_ = 1;
  bool isPublic_ = false;
  bool isResumable_ = false;
  // Requests on the route list the parts of their prompt, and are sent to
  // servers with a priority.
  bool hasPrompt_ = false;
  std::vector<WeightedService> services_;
};

// A service that runs language models.
struct EngineSpec
{
  std::uint32_t slots_ = 1;
  // Number of tokens that fit into the memory of an engine.
  std::uint64_t memoryTokens_ = 0;
};

// Limits on the number of engines that may be ordered in each failure domain,
// and their prices.
struct ScalingSpec
{
  std::uint32_t min_ = 0;
  std::uint32_t max_ = 0;
  // Price of a reclaimable engine as a fraction of the price of one that is not
  // reclaimable.
  double reclaimablePrice_ = 1;
  std::map<FailureDomainId, double> prices_;
};

struct ServiceSpec
{
  ServiceName name_;
  // Connections that a server accepts from all callers together.
  std::uint32_t maxConnections_ = 64;
  std::optional<EngineSpec> engine_;
  std::optional<ScalingSpec> scaling_;
};

struct WorkspaceSpec
{
  WorkspaceId id_;
  std::vector<std::string> keys_;
  // Overrides the priority of the route.
  std::optional<int> priority_;
  // Quota over all instances, in requests or tokens; 0 for no limit.
  double ratePerSecond_ = 0;
  double burst_ = 0;
  bool countsTokens_ = false;
  // Tokens charged for a request that does not state its tokens.
  std::uint64_t defaultTokens_ = 0;
};

struct Deployment
{
  Revision version_;
  std::vector<Route> routes_;
  std::vector<ServiceSpec> services_;
  std::vector<WorkspaceSpec> workspaces_;
  http::CallerLimits limits_;
};

// A deployment with indexes for the look-ups of the request path.
class RouteTable
{
public:
  explicit RouteTable(Deployment aDeployment);

  const Deployment& Declared() const { return deployment_; }
  // The route of aHost with the longest prefix that matches aPath, or null.
  const Route* FindRoute(const std::string& aHost,
                         std::string_view aPath) const;
  // The workspace that holds aKey, or null.
  const WorkspaceSpec* FindWorkspace(const std::string& aKey) const;
  const ServiceSpec* FindService(const ServiceName& aName) const;
  bool HasWorkspaces() const { return !deployment_.workspaces_.empty(); }

private:
  Deployment deployment_;
  // Indexes of the routes of each host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>> byHost_;
  std::map<std::string, std::size_t> byKey_;
  std::map<ServiceName, std::size_t> byService_;
};

// Picks one of the route's services by weight. aDraw is a random number from 0
// to 1.
const ServiceName&
PickService(const Route& aRoute, double aDraw);

} // namespace sycamoreward::edge
