#pragma once

// The resources that operators declare, in typed form. Field names in files are
// the member names in lowerCamelCase without the underscore, with the unit as a
// suffix if there is one (deadline_ is "deadlineMs").

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

// Urgency of the requests of a service.
struct ServiceClass
{
  // 0 is served first; 9 is served last and shed first.
  unsigned priority_ = 5;
  // Whether the requests are long-running. These may fill only a fraction of
  // the slots of each server (RoutingPolicy::longShare_).
  bool isLong_ = false;
  // Target for the time to first byte, used for hedging and load shedding.
  Duration firstByteTarget_ = std::chrono::milliseconds(310);
  // Time after which the caller no longer needs the response.
  Duration deadline_ = std::chrono::seconds(120);
};

// A service that callers can send requests to.
struct Service
{
  ResourceMetadata metadata_;
  ServiceType type_ = ServiceType::Model;
  // Pool of the backend servers that serve it.
  PoolName pool_;
  // Region whose ledger partitions record its requests.
  RegionId region_;
  // Model name sent to engines; unused by plain services.
  std::string model_;
  // Whether a request may run more than once.
  bool isRepeatable_ = true;
  std::vector<ServiceRoute> routes_;
  ServiceClass class_;
  // Path on a backend server that reports whether a request ran, with {id}
  // replaced by the request id. Empty when there is none.
  std::string statusPath_;
};

// A customer of the system, with its share of the capacity.
struct Workspace
{
  ResourceMetadata metadata_;
  // Weight in the division of slots among workspaces.
  unsigned share_ = 1;
  // SHA-256 digests, in hexadecimal, of the tokens of its callers.
  std::vector<std::string> tokenDigests_;
  // Services that the workspace may call; empty allows all.
  std::vector<ServiceName> services_;
};

// A version of a model and the pool that loads it.
struct ModelVersion
{
  ResourceMetadata metadata_;
  std::string model_;
  std::string version_;
  PoolName pool_;
  // Object in the weight store.
  std::string weights_;
  // Whether the servers of the pool refuse orders with a lower fencing number
  // than they have already seen.
  bool checksFencing_ = true;
};

// Parameters for routing the requests of a service.
struct RoutingPolicy
{
  ResourceMetadata metadata_;
  ServiceName service_;
  // Number of slots of a backend server that requests may fill.
  unsigned slotsPerServer_ = 16;
  // Fraction of the slots that long-running requests may fill, 0 to 1.
  double longShare_ = 0.75;
  // A server counts as slow when its time per token exceeds the median of the
  // pool by this factor.
  double slowFactor_ = 3.0;
  // Prefix affinity applies while the load of a server is at most this multiple
  // of the mean.
  double affinityBound_ = 1.25;
  // Hedged attempts as a fraction of all requests.
  double hedgeBudget_ = 0.05;
  // Retries as a fraction of all requests.
  double retryBudget_ = 0.10;
  // Maximum number of requests waiting at one entry instance; further ones are
  // refused.
  unsigned maxQueue_ = 256;
};

// All resources at one revision. Immutable once published.
struct Configuration
{
  Revision revision_;
  std::map<std::string, Service> services_;
  std::map<std::string, Workspace> workspaces_;
  std::map<std::string, ModelVersion> modelVersions_;
  std::map<std::string, RoutingPolicy> routingPolicies_;
};

} // namespace sycamoreward
