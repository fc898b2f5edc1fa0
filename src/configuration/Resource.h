#pragma once

// The declared resources: what operators write, in typed form. Field names in
// files are the member names in lowerCamelCase without the underscore, with the
// unit as suffix where there is one (deadline_ is "deadlineMs").

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "runtime/Http.h"

#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

enum class ResourceKind
{
  Service,
  Workspace,
  ModelVersion,
  RoutingPolicy
};

// Name and version of a resource.
struct ResourceMetadata
{
  std::string name_;
  // Revision of the last change of this resource; 0 for one not yet stored.
  Revision resourceVersion_;
};

enum class ServiceType
{
  // Served by engines through the completions API.
  Model,
  // Any HTTP service, passed through.
  Plain
};

// A route of a plain service that differs from the service's default.
struct ServiceRoute
{
  HttpMethod method_ = HttpMethod::Post;
  // Prefix of the path below /services/{service}.
  std::string pathPrefix_;
  bool isRepeatable_ = false;
};

// How urgent the requests of a service are.
struct ServiceClass
{
  // 0 is served first; 9 last, and is shed first.
  unsigned priority_ = 5;
  // Long work may fill only a part of each server's slots.
  bool isLong_ = false;
  // Bound of the time to first byte, for hedging and for load shedding.
  Duration firstByteTarget_ = std::chrono::milliseconds(310);
  // Time after which the caller no longer wants the answer.
  Duration deadline_ = std::chrono::seconds(120);
};

struct Service
{
  ResourceMetadata metadata_;
  ServiceType type_ = ServiceType::Model;
  // Backend servers that serve it.
  PoolName pool_;
  // Region whose partitions of the ledger record its requests.
  RegionId region_;
  // Model name sent to engines; unused by plain services.
  std::string model_;
  // Whether a request may run more than once.
  bool isRepeatable_ = true;
  std::vector<ServiceRoute> routes_;
  ServiceClass class_;
  // Path at a backend server that tells whether a request ran, with {id}
  // replaced by the request id. Empty when there is none.
  std::string statusPath_;
};

struct Workspace
{
  ResourceMetadata metadata_;
  // Weight in the division of slots among workspaces.
  unsigned share_ = 1;
  // SHA-256 digests, in hexadecimal, of the tokens of its callers.
  std::vector<std::string> tokenDigests_;
  // Services that it may call. Empty allows all.
  std::vector<ServiceName> services_;
};

struct ModelVersion
{
  ResourceMetadata metadata_;
  std::string model_;
  std::string version_;
  PoolName pool_;
  // Object in the weight store.
  std::string weights_;
  // Whether the servers of the pool refuse an order with an older fencing
  // number than they have seen.
  bool checksFencing_ = true;
};

// Settings of the decisions about a service's requests.
struct RoutingPolicy
{
  ResourceMetadata metadata_;
  ServiceName service_;
  // Slots of a backend server that requests may fill.
  unsigned slotsPerServer_ = 16;
  // Part of the slots that long work may fill, 0 to 1.
  double longShare_ = 0.75;
  // A server is slow when its time per token exceeds the pool's median by this
  // factor.
  double slowFactor_ = 3.0;
  // Prefix affinity holds while the load is at most this multiple of the mean.
  double affinityBound_ = 1.25;
  // Hedged attempts as a part of all requests.
  double hedgeBudget_ = 0.05;
  // Retries as a part of all requests.
  double retryBudget_ = 0.10;
  // Requests waiting at one entry instance before new ones are refused.
  unsigned maxQueue_ = 256;
};

// All resources at one revision. Never changed after it is published.
struct Configuration
{
  Revision revision_;
  std::map<std::string, Service> services_;
  std::map<std::string, Workspace> workspaces_;
  std::map<std::string, ModelVersion> modelVersions_;
  std::map<std::string, RoutingPolicy> routingPolicies_;
};

} // namespace sycamoreward
