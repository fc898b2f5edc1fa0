#pragma once

// Metrics of one instance, with a separate prometheus-cpp registry. The number
// of label values is bounded: service, workspace, class and outcome come from
// the configuration and from fixed lists, never from request data.

#include "base/Clock.h"
#include "base/Ids.h"
#include "ledger/Outcome.h"
#include "limits/ClientAccounts.h"
#include "runtime/HttpClient.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace sycamoreward {

class Metrics
{
public:
  Metrics();

  // Counts a finished request.
  void CountOutcome(const ServiceName& aService,
                    const WorkspaceId& aWorkspace,
                    OutcomeKind aKind);

  // Counts a request that was refused before it was sent to a backend server.
  // aReason is one of a fixed list, such as "overloaded".
  void CountRefused(const ServiceName& aService, const std::string& aReason);

  // Counts an attempt of a request after the first. aReason is a FailureClass
  // name or "hedge".
  void CountRetry(const ServiceName& aService, const std::string& aReason);

  // Record the time from acceptance of a request to the first byte sent to the
  // caller, and to the end of the request.
  void ObserveFirstByte(const ServiceName& aService, Duration aElapsed);
  void ObserveTotal(const ServiceName& aService, Duration aElapsed);

  // Counts tokens forwarded to callers.
  void CountTokens(const ServiceName& aService, std::uint64_t aTokens);

  // Sets the totals of the protocol between entry instances; aDirection is
  // "sent" or "received".
  void SetPeerTraffic(const std::string& aDirection,
                      std::uint64_t aBytes,
                      std::uint64_t aMessages);

  // Sets the totals of an HTTP client; aUse is "control" (load polls,
  // instance list, notices) or "store".
  void SetHttpTraffic(const std::string& aUse,
                      const HttpClientTraffic& aTraffic);

  // Number of backend servers whose load this instance polls.
  void SetPolledServers(std::size_t aCount);

  void SetConfigurationRevision(Revision aRevision);
  void SetLiveMembers(std::size_t aCount);
  void SetRunningRequests(std::size_t aCount);
  // Processor time used by the process since its start, in seconds.
  void SetProcessorSeconds(double aSeconds);
  // Resident memory of the process, in bytes.
  void SetResidentBytes(std::uint64_t aBytes);

  // Sets the connections and bytes that clients hold, and the number of clients
  // that each limit has affected.
  void SetClients(const ClientAccounts& aClients);

  // All metrics in the Prometheus text exposition format.
  std::string Text() const;

private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& outcomes_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& tokens_;
  prometheus::Family<prometheus::Histogram>& firstByte_;
  prometheus::Family<prometheus::Histogram>& total_;
  prometheus::Family<prometheus::Gauge>& peerBytes_;
  prometheus::Family<prometheus::Gauge>& peerMessages_;
  prometheus::Family<prometheus::Gauge>& httpBytes_;
  prometheus::Gauge& polledServers_;
  prometheus::Gauge& revision_;
  prometheus::Gauge& liveMembers_;
  prometheus::Gauge& runningRequests_;
  prometheus::Gauge& processorSeconds_;
  prometheus::Gauge& residentBytes_;
  prometheus::Gauge& clientConnections_;
  prometheus::Gauge& clientBytes_;
  prometheus::Family<prometheus::Gauge>& clientLimits_;
};

} // namespace sycamoreward
