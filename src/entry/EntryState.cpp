#include "entry/EntryState.h"

#include "ledger/Partition.h"

#include <algorithm>
#include <utility>

namespace sycamoreward {

namespace {

constexpr std::chrono::seconds kInstanceListTimeout{ 2 };
// Name of the duty and of the lease of the fleet task.
constexpr const char* kFleetDuty = "fleet";
constexpr std::ptrdiff_t kMaxFleetCandidates = 2;

std::string
RandomToken(std::mt19937_64& aRandom)
{
  return HexOf(aRandom()) + HexOf(aRandom());
}

std::mt19937_64
SeededRandom()
{
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device() };
  return std::mt19937_64(seed);
}

// Copies of the body of a caller's request: in the exchange, the accepted
// request, the call to a server and its send buffer.
constexpr std::size_t kCallerBodyCopies = 4;

Machine
MachineOf(const LimitSettings& aLimits)
{
  Machine machine = ReadMachine();
  if (aLimits.memory_.Value() > 0) {
    machine.memory_ = aLimits.memory_;
  }
  return machine;
}

ClientBounds
BoundsOf(const LimitSettings& aLimits)
{
  return DeriveClientBounds(MachineOf(aLimits), aLimits.maxConnections_);
}

RequestTableBounds
TableBoundsOf(const LimitSettings& aLimits, const ClientBounds& aClients)
{
  RequestTableBounds bounds;
  bounds.running_ = aLimits.maxRequests_;
  bounds.finishedBytes_ =
    std::min<std::uint64_t>(bounds.finishedBytes_, aClients.streamedBytes_);
  return bounds;
}

HttpServerOptions
CallerOptions(const Settings& aSettings)
{
  HttpServerOptions options;
  options.listen_ = aSettings.listen_.callers_;
  options.maxBodySize_ = aSettings.limits_.maxBody_;
  options.bodyCopies_ = kCallerBodyCopies;
  return options;
}

HttpServerOptions
OperatorOptions(const Settings& aSettings)
{
  HttpServerOptions options;
  options.listen_ = aSettings.listen_.operators_;
  options.maxBodySize_ = aSettings.limits_.maxBody_;
  options.use_ = http::PortUse::Control;
  return options;
}

PeerNetworkOptions
NetworkOptions(const ListenSettings& aListen)
{
  PeerNetworkOptions options;
  options.listen_ = aListen.peers_;
  return options;
}

StoreOptions
MakeStoreOptions(const Address& aAddress, const std::string& aName)
{
  StoreOptions options;
  options.address_ = aAddress;
  options.name_ = aName;
  return options;
}

LedgerClientOptions
LedgerOptions(ObjectStore& aObjects)
{
  LedgerClientOptions options;
  options.answers_ = &aObjects;
  return options;
}

std::vector<PeerIdentity>
SeedIdentities(const std::vector<Address>& aAddresses)
{
  std::vector<PeerIdentity> seeds;
  for (const Address& address : aAddresses) {
    PeerIdentity seed;
    seed.peerAddress_ = address;
    seeds.push_back(seed);
  }
  return seeds;
}

std::vector<InstanceId>
LiveInstances(const MemberList& aMembers)
{
  std::vector<InstanceId> live;
  for (const Member& member : aMembers.members_) {
    if (member.state_ == MemberState::Live ||
        member.state_ == MemberState::Suspect) {
      live.push_back(member.identity_.instance_);
    }
  }
  return live;
}

OrderTerms
FleetTerms(const FleetSettings& aFleet)
{
  OrderTerms terms;
  terms.lease_.duration_ = aFleet.lease_;
  terms.lease_.renewInterval_ = aFleet.renew_;
  terms.orderTimeout_ = aFleet.orderTimeout_;
  return terms;
}

} // namespace

EntryInstance::State::State(EventLoop& aLoop, const Settings& aSettings)
  : loop_(aLoop)
  , settings_(aSettings)
  , random_(SeededRandom())
  , client_(aLoop)
  , controlClient_(aLoop)
  , storeClient_(aLoop)
  , clients_(std::make_shared<ClientAccounts>(aLoop.GetClock(),
                                              BoundsOf(aSettings.limits_)))
  , callerServer_(
      aLoop,
      CallerOptions(aSettings),
      [this](std::shared_ptr<HttpExchange> aExchange) {
        HandleCaller(aExchange);
      },
      clients_)
  , operatorServer_(
      aLoop,
      OperatorOptions(aSettings),
      [this](std::shared_ptr<HttpExchange> aExchange) {
        HandleOperator(aExchange);
      },
      clients_)
  , network_(aLoop, NetworkOptions(aSettings.listen_), MakeIdentity())
  , membership_(aLoop, network_, network_.Self())
  , table_(storeClient_,
           MakeStoreOptions(aSettings.platform_.table_,
                            aSettings.platform_.tableName_))
  , objects_(storeClient_,
             MakeStoreOptions(aSettings.platform_.objectStore_,
                              aSettings.platform_.bucket_))
  , feeds_(network_)
  , configurationStore_(aLoop, table_, [this] { return RandomToken(random_); })
  , configuration_(aLoop, configurationStore_, feeds_, membership_)
  , servers_(
      aLoop,
      [this](std::uint64_t aSince,
             std::function<void(std::optional<std::string>)> aOnText) {
        FetchInstanceList(aSince, std::move(aOnText));
      },
      feeds_,
      membership_)
  , scheduler_(aLoop,
               controlClient_,
               servers_,
               random_,
               PoolSchedulerOptions{
                 aSettings.instance_.id_,
                 [this] { return LiveInstances(membership_.Members()); } })
  , context_(MakeRequestContext())
  , journal_(table_, objects_)
  , registrar_(RegistrarServices{ aLoop,
                                  table_,
                                  &journal_,
                                  membership_,
                                  network_,
                                  [this] { return random_(); },
                                  MakeClaimQuery(context_),
                                  [this](const InstanceId& aInstance) {
                                    return servers_.IsGone(aInstance);
                                  } },
               aSettings.instance_.region_)
  , ledger_(
      aLoop,
      membership_,
      network_,
      &registrar_,
      [this] { return random_(); },
      LedgerOptions(objects_))
  , callerApi_(context_, TableBoundsOf(aSettings.limits_, clients_->Bounds()))
  , resourceApi_(aLoop,
                 configuration_,
                 configurationStore_,
                 aSettings.operators_)
  , fleetLease_(
      aLoop,
      table_,
      kFleetDuty,
      aSettings.instance_.id_,
      FleetTerms(aSettings.fleet_).lease_,
      [this] { return IsFleetCandidate(); },
      [this] { return RandomToken(random_); })
  , fleet_(FleetServices{ aLoop,
                          client_,
                          table_,
                          configuration_,
                          servers_,
                          [this] { return fleetLease_.Held(); },
                          [this] { return RandomToken(random_); } },
           FleetTerms(aSettings.fleet_))
{
  ConnectComponents();
  Start();
}

PeerIdentity
EntryInstance::State::MakeIdentity() const
{
  PeerIdentity identity;
  identity.instance_ = settings_.instance_.id_;
  identity.incarnation_ = Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      loop_.GetClock().Wall().time_since_epoch())
      .count()));
  identity.failureDomain_ = settings_.instance_.failureDomain_;
  identity.region_ = settings_.instance_.region_;
  identity.peerAddress_ = settings_.listen_.peers_;
  identity.callerAddress_ = callerServer_.BoundAddress();
  return identity;
}

RequestContext
EntryInstance::State::MakeRequestContext()
{
  return RequestContext{
    loop_,       client_,        scheduler_,
    ledger_,     configuration_, servers_,
    membership_, network_,       [this] { return random_(); },
    &metrics_,   clients_
  };
}

void
EntryInstance::State::FetchInstanceList(
  std::uint64_t aSince,
  std::function<void(std::optional<std::string>)> aOnText)
{
  HttpClientRequest request;
  request.address_ = settings_.platform_.instanceList_;
  request.target_ = "/v1/instances?since=" + std::to_string(aSince);
  request.connectTimeout_ = kInstanceListTimeout;
  request.silenceTimeout_ = kInstanceListTimeout;
  controlClient_.Fetch(request, [aOnText](HttpClientReply aReply) {
    const bool isOk = aReply.end_ == HttpEnd::Complete && aReply.status_ == 200;
    aOnText(isOk ? std::optional<std::string>(std::move(aReply.body_))
                 : std::nullopt);
  });
}

void
EntryInstance::State::ConnectComponents()
{
  clients_->OnLimit([this](ClientLimit aLimit, std::uint64_t aCount) {
    log_->warn("The limit of {} has affected {} clients since the start; {} "
               "connections hold {} bytes.",
               ToText(aLimit),
               aCount,
               clients_->Connections(),
               clients_->HeldBytes());
  });
  network_.OnIdentityMismatch(
    [this](const PeerIdentity& aExpected, const PeerIdentity& aActual) {
      membership_.HandleIdentityMismatch(aExpected, aActual);
    });
  membership_.OnNewIncarnation([this](Incarnation aIncarnation) {
    network_.SetIncarnation(aIncarnation);
  });
  membership_.OnChange([this] { scheduler_.RefreshServers(); });
  servers_.OnChange([this] {
    scheduler_.RefreshServers();
    membership_.SetSeeds(servers_.Entries());
    configuration_.AddSeeds(servers_.Entries());
  });
}

void
EntryInstance::State::Start()
{
  const auto seeds = SeedIdentities(settings_.seeds_);
  membership_.SetSeeds(seeds);
  servers_.Start(seeds);
  configuration_.Start(seeds);
  if (settings_.platform_.notices_) {
    noticeWatch_ = std::make_unique<NoticeWatch>(
      loop_,
      controlClient_,
      *settings_.platform_.notices_,
      settings_.platform_.noticePath_,
      [this](Duration aLeft) { OnReclaimNotice(aLeft); });
  }
  log_->info("Instance {} of failure domain {} is serving callers on {}.",
             settings_.instance_.id_.Value(),
             settings_.instance_.failureDomain_.Value(),
             ToString(callerServer_.BoundAddress()));
}

bool
EntryInstance::State::IsReady() const
{
  return configuration_.IsReady() && servers_.IsReady() && !isLeaving_;
}

// An instance that is not ready is no candidate: without the configuration it
// does not know the desired model versions.
bool
EntryInstance::State::IsFleetCandidate() const
{
  const auto ranked =
    RankForDuty(membership_.Members(), kFleetDuty, settings_.instance_.region_);
  const auto position =
    std::find(ranked.begin(), ranked.end(), settings_.instance_.id_);
  return IsReady() && position != ranked.end() &&
         position - ranked.begin() < kMaxFleetCandidates;
}

void
EntryInstance::State::HandleCaller(
  const std::shared_ptr<HttpExchange>& aExchange)
{
  if (!callerApi_.Handle(aExchange)) {
    aExchange->Reply(404,
                     { { "Content-Type", "application/json" } },
                     R"({"error":{"code":"not_found","message":)"
                     R"("There is no such path.","ran":"not_run"}})");
  }
}

void
EntryInstance::State::HandleOperator(
  const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string& path = aExchange->Request().path_;
  if (path == "/healthz") {
    aExchange->Reply(200, {}, "ok\n");
  } else if (path == "/readyz") {
    const bool isReady = IsReady();
    aExchange->Reply(isReady ? 200 : 503, {}, isReady ? "ok\n" : "not ready\n");
  } else if (path == "/metrics") {
    aExchange->Reply(
      200, { { "Content-Type", "text/plain; version=0.0.4" } }, MetricsText());
  } else if (ResourceApi::IsApiPath(path)) {
    resourceApi_.Handle(aExchange);
  } else {
    aExchange->Reply(404, {}, "There is no such path.\n");
  }
}

std::string
EntryInstance::State::MetricsText()
{
  metrics_.SetClients(*clients_);
  const PeerNetworkStatistics statistics = network_.Statistics();
  metrics_.SetPeerTraffic(
    "sent", statistics.traffic_.bytesSent_, statistics.traffic_.framesSent_);
  metrics_.SetPeerTraffic("received",
                          statistics.traffic_.bytesReceived_,
                          statistics.traffic_.framesReceived_);
  metrics_.SetHttpTraffic("control", controlClient_.Traffic());
  metrics_.SetHttpTraffic("store", storeClient_.Traffic());
  metrics_.SetPolledServers(scheduler_.ServerCount());
  const ProcessUsage usage = ReadProcessUsage();
  metrics_.SetProcessorSeconds(usage.processorSeconds_);
  metrics_.SetResidentBytes(usage.residentBytes_);
  metrics_.SetConfigurationRevision(configuration_.Current()->revision_);
  metrics_.SetLiveMembers(LiveInstances(membership_.Members()).size());
  metrics_.SetRunningRequests(callerApi_.RunningRequests());
  return metrics_.Text();
}

} // namespace sycamoreward
