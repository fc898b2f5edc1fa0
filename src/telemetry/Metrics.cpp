#include "telemetry/Metrics.h"

#include <prometheus/text_serializer.h>

namespace sycamoreward {

namespace {

// Histogram bucket boundaries in seconds. 0.31 and 0.079 are the latency
// targets for the first token and between tokens.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{
  0.001, 0.005, 0.01, 0.025, 0.05, 0.079, 0.1, 0.2,
  0.31,  0.5,   1,    2.5,   5,    10,    30,  120
};

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

prometheus::Family<prometheus::Counter>&
MakeCounter(prometheus::Registry& aRegistry,
            const std::string& aName,
            const std::string& aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Family<prometheus::Gauge>&
MakeGauge(prometheus::Registry& aRegistry,
          const std::string& aName,
          const std::string& aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Family<prometheus::Histogram>&
MakeHistogram(prometheus::Registry& aRegistry,
              const std::string& aName,
              const std::string& aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
    aRegistry);
}

} // namespace

Metrics::Metrics()
  : outcomes_(MakeCounter(registry_,
                          "sycamoreward_requests_total",
                          "Requests by outcome."))
  , refused_(MakeCounter(registry_,
                         "sycamoreward_refused_total",
                         "Requests refused before they were sent."))
  , retries_(MakeCounter(registry_,
                         "sycamoreward_retries_total",
                         "Further attempts of requests."))
  , tokens_(MakeCounter(registry_,
                        "sycamoreward_tokens_total",
                        "Tokens passed on to callers."))
  , firstByte_(MakeHistogram(registry_,
                             "sycamoreward_first_byte_seconds",
                             "Time from acceptance to the first byte."))
  , total_(MakeHistogram(registry_,
                         "sycamoreward_request_seconds",
                         "Time from acceptance to the end."))
  , peerBytes_(MakeGauge(registry_,
                         "sycamoreward_peer_bytes",
                         "Bytes of the inner protocol since the start."))
  , peerMessages_(MakeGauge(registry_,
                            "sycamoreward_peer_messages",
                            "Messages of the inner protocol since the start."))
  , httpBytes_(MakeGauge(registry_,
                         "sycamoreward_http_bytes",
                         "Bytes of HTTP calls by use since the start."))
  , polledServers_(MakeGauge(registry_,
                             "sycamoreward_polled_servers",
                             "Backend servers whose load is polled.")
                     .Add({}))
  , revision_(MakeGauge(registry_,
                        "sycamoreward_configuration_revision",
                        "Configuration revision in force.")
                .Add({}))
  , liveMembers_(MakeGauge(registry_,
                           "sycamoreward_live_members",
                           "Entry instances seen as live.")
                   .Add({}))
  , runningRequests_(MakeGauge(registry_,
                               "sycamoreward_running_requests",
                               "Requests without an outcome.")
                       .Add({}))
  , processorSeconds_(MakeGauge(registry_,
                                "process_cpu_seconds_total",
                                "Processor time used since the start.")
                        .Add({}))
  , residentBytes_(
      MakeGauge(registry_, "process_resident_memory_bytes", "Resident memory.")
        .Add({}))
  , clientConnections_(MakeGauge(registry_,
                                 "sycamoreward_client_connections",
                                 "Connections of clients on all ports.")
                         .Add({}))
  , clientBytes_(MakeGauge(registry_,
                           "sycamoreward_client_bytes",
                           "Bytes of requests and unread answers held.")
                   .Add({}))
  , clientLimits_(MakeGauge(registry_,
                            "sycamoreward_client_limit_total",
                            "Clients that a limit for all of them affected."))
{
}

void
Metrics::CountOutcome(const ServiceName& aService,
                      const WorkspaceId& aWorkspace,
                      OutcomeKind aKind)
{
  outcomes_
    .Add({ { "service", aService.Value() },
           { "workspace", aWorkspace.Value() },
           { "outcome", ToString(aKind) } })
    .Increment();
}

void
Metrics::CountRefused(const ServiceName& aService, const std::string& aReason)
{
  refused_.Add({ { "service", aService.Value() }, { "reason", aReason } })
    .Increment();
}

void
Metrics::CountRetry(const ServiceName& aService, const std::string& aReason)
{
  retries_.Add({ { "service", aService.Value() }, { "reason", aReason } })
    .Increment();
}

void
Metrics::ObserveFirstByte(const ServiceName& aService, Duration aElapsed)
{
  firstByte_.Add({ { "service", aService.Value() } }, kLatencyBounds)
    .Observe(ToSeconds(aElapsed));
}

void
Metrics::ObserveTotal(const ServiceName& aService, Duration aElapsed)
{
  total_.Add({ { "service", aService.Value() } }, kLatencyBounds)
    .Observe(ToSeconds(aElapsed));
}

void
Metrics::CountTokens(const ServiceName& aService, std::uint64_t aTokens)
{
  tokens_.Add({ { "service", aService.Value() } })
    .Increment(static_cast<double>(aTokens));
}

void
Metrics::SetPeerTraffic(const std::string& aDirection,
                        std::uint64_t aBytes,
                        std::uint64_t aMessages)
{
  peerBytes_.Add({ { "direction", aDirection } })
    .Set(static_cast<double>(aBytes));
  peerMessages_.Add({ { "direction", aDirection } })
    .Set(static_cast<double>(aMessages));
}

void
Metrics::SetHttpTraffic(const std::string& aUse,
                        const HttpClientTraffic& aTraffic)
{
  httpBytes_.Add({ { "use", aUse }, { "direction", "sent" } })
    .Set(static_cast<double>(aTraffic.sent_));
  httpBytes_.Add({ { "use", aUse }, { "direction", "received" } })
    .Set(static_cast<double>(aTraffic.received_));
}

void
Metrics::SetPolledServers(std::size_t aCount)
{
  polledServers_.Set(static_cast<double>(aCount));
}

void
Metrics::SetConfigurationRevision(Revision aRevision)
{
  revision_.Set(static_cast<double>(aRevision.Value()));
}

void
Metrics::SetLiveMembers(std::size_t aCount)
{
  liveMembers_.Set(static_cast<double>(aCount));
}

void
Metrics::SetRunningRequests(std::size_t aCount)
{
  runningRequests_.Set(static_cast<double>(aCount));
}

void
Metrics::SetProcessorSeconds(double aSeconds)
{
  processorSeconds_.Set(aSeconds);
}

void
Metrics::SetResidentBytes(std::uint64_t aBytes)
{
  residentBytes_.Set(static_cast<double>(aBytes));
}

void
Metrics::SetClients(const ClientAccounts& aClients)
{
  clientConnections_.Set(double(aClients.Connections()));
  clientBytes_.Set(double(aClients.HeldBytes()));
  for (std::size_t index = 0; index < kClientLimits; ++index) {
    const auto limit = ClientLimit(index);
    clientLimits_.Add({ { "limit", ToText(limit) } })
      .Set(double(aClients.Affected(limit)));
  }
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace sycamoreward
