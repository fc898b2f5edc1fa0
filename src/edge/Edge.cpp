#include "edge/Edge.h"

#include "base/DurationUnits.h"
#include "base/Error.h"
#include "edge/MemberRow.h"
#include "edge/RelayedRows.h"
#include "edge/RequestRun.h"
#include "runtime/EventLoop.h"

namespace sycamoreward::edge {

namespace {

constexpr const char* kMemberTable = "members";
// Interval at which the list of instances is read. New instances announce
// themselves to all others, so the list only fills gaps.
constexpr Duration kMemberInterval = std::chrono::seconds(15);
constexpr Duration kStartupTime = std::chrono::milliseconds(1200);
constexpr Duration kMemberRetryDelay = std::chrono::milliseconds(400);
// The list is read after the own row is written, so that of two instances that
// start together one sees the other, but it does not wait longer than this for
// the store to answer the write.
constexpr Duration kMemberReadDelay = std::chrono::milliseconds(100);
// Without the list, requests of limited workspaces are refused.
constexpr Duration kFirstReadRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// Time after the store has returned from an older copy in which the servers and
// the platform write again what was lost.
constexpr Duration kHoldOutTime = std::chrono::milliseconds(5000);
// Delay before the server table is read again after a change, so that one read
// covers many changes: all servers of a deployment register within the same few
// seconds.
constexpr Duration kServerReadDelay = std::chrono::milliseconds(150);
// Maximum wait for a change when rows are relayed. A collector that the store
// no longer answers has to detect this and report it with its next digest, and
// the other instances must still have time to read the store within the three
// seconds that the platform allows.
constexpr Duration kRelayWaitTimeout = std::chrono::milliseconds(800);
// Time after the start by which the reports of the other instances have
// arrived.
constexpr Duration kPeerReportTime = std::chrono::milliseconds(800);
// A draining instance accepts requests for this time. By then callers that look
// up addresses have switched to other instances, and the accepted requests
// still have most of the time until the platform kills the process.
constexpr Duration kDrainAcceptTime = std::chrono::milliseconds(2000);
// The requests that still run are answered this long before the platform kills
// the process, and their answers have this time to be sent.
constexpr Duration kDrainReserve = std::chrono::milliseconds(500);
constexpr Duration kLastAnswerTime = std::chrono::milliseconds(200);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(100);
// Probe interval and timeouts that detect silent connections to other instances
// and unreachable instances.
constexpr Duration kPeerProbeInterval = std::chrono::milliseconds(1000);
constexpr Duration kPeerSilenceTimeout = std::chrono::milliseconds(2500);
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(1500);

PeerNetworkOptions
NetworkOptions(const Address& aListen)
{
  PeerNetworkOptions options;
  options.listen_ = aListen;
  options.connectTimeout_ = kPeerConnectTimeout;
  options.pingAfter_ = kPeerProbeInterval;
  options.receiveTimeout_ = kPeerSilenceTimeout;
  return options;
}

} // namespace

Edge::Edge(EventLoop& aLoop,
           const EdgeOptions& aOptions,
           const WireCodec& aWire,
           const RowCodec& aRows,
           RowStore& aStore,
           Cloud& aCloud,
           DecisionLog& aLog,
           EdgeMetrics& aMetrics,
           std::shared_ptr<ClientAccounts> aClients)
  : loop_(aLoop)
  , options_(aOptions)
  , rows_(aRows)
  , log_(aLog)
  , metrics_(aMetrics)
  , state_(aLoop, aWire, aOptions.bounds_, aLog, aMetrics, aOptions.seed_)
  , store_(aStore, state_.storeEra_)
  , network_(aLoop, NetworkOptions(aOptions.peers_), aOptions.self_)
  , duties_((state_.self_ = aOptions.self_.instance_, state_),
            store_,
            aCloud,
            aOptions.self_.incarnation_)
  , reports_(state_,
             network_,
             aOptions.self_,
             [this] {
               return SelfStatus{ IsReady(), isDraining_, duties_.HeldEpoch() };
             })
  , placementExchange_(state_, network_)
  , blockRows_(state_, store_)
  , clients_(std::move(aClients))
  , started_(aLoop.GetClock().Now())
{
  state_.domain_ = aOptions.self_.failureDomain_;
  state_.streamedBytes_ = clients_->Bounds().streamedBytes_;
  state_.channels_.SetMaxIdle(clients_->Bounds().idleServerConnections_);
  clients_->OnLimit([this](ClientLimit aLimit, std::uint64_t aCount) {
    LogLine line("client_limit");
    line.Add("limit", ToText(aLimit))
      .Add("clients", aCount)
      .Add("connections", std::uint64_t(clients_->Connections()))
      .Add("bytes", std::uint64_t(clients_->HeldBytes()));
    log_.WriteImportant(line);
  });
  state_.askForQuota_ = [this](const WorkspaceId& aWorkspace,
                               double aAmount,
                               std::function<void(bool)> aOnAnswer) {
    reports_.RequestQuota(aWorkspace, aAmount, std::move(aOnAnswer));
  };
  state_.placementExchange_ = &placementExchange_;
  state_.reportSoon_ = [this] { reports_.ReportSoon(); };
  state_.reportCrashes_ = [this] { reports_.ReportCrashes(); };
  state_.onPromptSent_ = [this](double aTokens) { reports_.NoteSent(aTokens); };
  duties_.Start(reports_);
  deploymentWatch_ = std::make_unique<TableWatch>(
    aLoop,
    store_,
    aLog,
    TableWatchOptions{ rows_.deploymentTable_ },
    TableWatch::Callbacks{ [this] { OnDeploymentRows(); }, nullptr, nullptr });
  TableWatchOptions serverOptions{ rows_.serverTable_ };
  serverOptions.batchDelay_ = kServerReadDelay;
  serverWatch_ = std::make_unique<TableWatch>(
    aLoop,
    store_,
    aLog,
    serverOptions,
    TableWatch::Callbacks{
      [this] { OnServerRows(); },
      [this](Duration aOutage) { OnStoreRecovered(aOutage); },
      [this] { OnStoreRestored(); } });
  callers_ = std::make_unique<http::CallerServer>(
    aLoop,
    aOptions.callers_,
    [this](std::shared_ptr<http::CallerExchange> aExchange) {
      std::make_shared<RequestRun>(state_, std::move(aExchange))->Start();
    },
    clients_);
  SetUpRelay();
  Join();
  Tick();
}

void
Edge::SetUpRelay()
{
  RowRelay relay =
    MakeRowRelay({ { rows_.deploymentTable_, deploymentWatch_.get() },
                   { rows_.serverTable_, serverWatch_.get() } });
  relay.onRowsMissing_ = [this] { UpdateStoreReading(); };
  reports_.SetRelay(std::move(relay));
}

Edge::~Edge()
{
  clients_->OnLimit(nullptr);
  for (const std::uint64_t timer : { tickTimer_,
                                     memberTimer_,
                                     memberReadTimer_,
                                     entryLapseTimer_,
                                     heldOutTimer_,
                                     drainTimer_ }) {
    loop_.CancelTimer(timer);
  }
}

bool
Edge::IsReady() const
{
  const bool hasPeers = loop_.GetClock().Now() - started_ >= kPeerReportTime;
  return !isDraining_ && hasPeers && reports_.KnowsMembers() &&
         state_.routes_ != nullptr && serverWatch_ != nullptr &&
         serverWatch_->HasSnapshot();
}

std::vector<Address>
Edge::Addresses() const
{
  return ChooseAddresses(reports_.Instances());
}

void
Edge::OnDeploymentRows()
{
  const auto& rows = deploymentWatch_->Rows();
  const auto found = rows.find(rows_.deploymentKey_);
  const bool isInForce =
    found != rows.end() && found->second.value_ == deploymentInForce_;
  if (found == rows.end() || isInForce) {
    return;
  }
  try {
    Deployment deployment = rows_.decodeDeployment_(found->second.value_);
    const Revision version = deployment.version_;
    const http::CallerLimits limits = deployment.limits_;
    if (ApplyDeployment(state_, std::move(deployment))) {
      deploymentInForce_ = found->second.value_;
      callers_->SetLimits(limits);
      LogLine line("deployment_in_force");
      line.Add("version", version.Value())
        .Add("routes",
             std::uint64_t(state_.routes_->Declared().routes_.size()));
      log_.WriteImportant(line);
      // Add the servers of services that were unknown until now.
      OnServerRows();
    }
  } catch (const UserError& error) {
    LogLine line("deployment_refused");
    line.Add("error", error.what());
    log_.WriteImportant(line);
  }
}

void
Edge::OnServerRows()
{
  if (serverWatch_ == nullptr || !serverWatch_->HasSnapshot()) {
    return;
  }
  const MonotonicTime now = loop_.GetClock().Now();
  std::map<ServerId, BackendServer> listed;
  std::uint64_t unusable = 0;
  for (const auto& [key, row] : serverWatch_->Rows()) {
    auto server = rows_.decodeServer_(key, row.value_, now);
    if (!server.has_value()) {
      ++unusable;
      continue;
    }
    const auto known = servers_.servers_.find(server->id_);
    if (known != servers_.servers_.end()) {
      // The cold start time counts from when the server was first listed.
      server->listed_ = known->second.listed_;
    }
    server->isFromCopy_ = row.version_ <= serverWatch_->RestoredVersion();
    listed.emplace(server->id_, *server);
  }
  ApplyListed(servers_, listed, now);
  ApplyServers(state_, servers_.servers_);
  LogLine line("servers_listed");
  line.Add("listed", std::uint64_t(listed.size()))
    .Add("used", std::uint64_t(servers_.servers_.size()))
    .Add("unusable", unusable);
  log_.WriteImportant(line);
}

void
Edge::OnStoreRecovered(Duration /*aOutage*/)
{
  const MonotonicTime now = loop_.GetClock().Now();
  RetainMissing(servers_, state_.bounds_.entryLapseTime_, now);
  loop_.CancelTimer(entryLapseTimer_);
  entryLapseTimer_ =
    loop_.CallAfter(state_.bounds_.entryLapseTime_, [this] { OnServerRows(); });
}

void
Edge::OnStoreRestored()
{
  OnStoreRecovered(Duration(0));
  HoldOutDeparted(servers_, kHoldOutTime, loop_.GetClock().Now());
  loop_.CancelTimer(heldOutTimer_);
  heldOutTimer_ = loop_.CallAfter(kHoldOutTime, [this] { OnServerRows(); });
  // The own row may be one of those that were lost.
  WriteMember();
}

void
Edge::Join()
{
  memberTimer_ = loop_.CallAfter(kMemberReadDelay, [this] { WriteMember(); });
  ScheduleMemberRead(2 * kMemberReadDelay);
  store_.Read(kMemberTable, "", [this](const StoreReply& aReply) {
    if (aReply.status_ == StoreStatus::Ok && aReply.rows_.empty() &&
        !reports_.KnowsMembers()) {
      SetQuotasUnused(state_);
    }
    if (!isMemberWriteStarted_) {
      loop_.CancelTimer(memberTimer_);
      WriteMember();
    }
  });
}

void
Edge::WriteMember()
{
  isMemberWriteStarted_ = true;
  StoreWrite write;
  write.rows_.push_back({ kMemberTable,
                          options_.self_.instance_.Value(),
                          EncodeMember(options_.self_),
                          0,
                          false });
  store_.Write(write, [this](const StoreReply& aReply) {
    isMemberWritten_ = aReply.status_ == StoreStatus::Ok;
    LogMemberCall("write", isMemberWritten_);
    if (!isMemberWritten_) {
      memberTimer_ =
        loop_.CallAfter(kMemberRetryDelay, [this] { WriteMember(); });
    } else if (!reports_.KnowsMembers()) {
      ScheduleMemberRead(Duration(0));
    }
  });
}

void
Edge::ScheduleMemberRead(Duration aDelay)
{
  loop_.CancelTimer(memberReadTimer_);
  memberReadTimer_ = loop_.CallAfter(aDelay, [this] { ReadMembers(); });
}

void
Edge::ReadMembers()
{
  store_.Read(kMemberTable, "", [this](const StoreReply& aReply) {
    const bool isRead = aReply.status_ == StoreStatus::Ok;
    LogMemberCall("read", isRead);
    if (isRead) {
      OnMembers(aReply);
    }
    // Instances that start together write their rows within a second.
    const bool isStarting = loop_.GetClock().Now() - started_ < kStartupTime;
    const Duration pause = isStarting ? kStartupTime : kMemberInterval;
    const Duration retry =
      reports_.KnowsMembers() ? kMemberRetryDelay : kFirstReadRetryDelay;
    ScheduleMemberRead(isRead ? pause : retry);
  });
}

void
Edge::LogMemberCall(const char* aCall, bool aIsAnswered)
{
  LogLine line(aIsAnswered ? "members_call" : "members_call_failed");
  line.Add("call", aCall).Add("instances", std::uint64_t(reports_.LiveCount()));
  log_.WriteImportant(line);
}

void
Edge::OnMembers(const StoreReply& aReply)
{
  std::vector<PeerIdentity> members;
  for (const StoreRow& row : aReply.rows_) {
    if (const auto member = DecodeMember(row.value_)) {
      members.push_back(*member);
    }
  }
  reports_.SetMembers(members);
}

void
Edge::UpdateStoreReading()
{
  const bool readsStore = reports_.ReadsStore();
  if (!reports_.IsMesh()) {
    deploymentWatch_->SetWait(kRelayWaitTimeout);
    serverWatch_->SetWait(kRelayWaitTimeout);
  }
  deploymentWatch_->SetPaused(!readsStore);
  serverWatch_->SetPaused(!readsStore);
}

void
Edge::Tick()
{
  state_.wallOffset_ = reports_.WallOffset();
  UpdateStoreReading();
  placementExchange_.SetPlacers(reports_.Placers());
  const bool isReady = IsReady();
  if (isReady != wasReady_) {
    wasReady_ = isReady;
    LogLine line(isReady ? "ready" : "not_ready");
    line.Add("instances", std::uint64_t(reports_.LiveCount()));
    log_.WriteImportant(line);
  }
  tickTimer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

std::string
Edge::MetricsText()
{
  const MonotonicTime now = loop_.GetClock().Now();
  const auto age = [now](MonotonicTime aTime) { return Seconds(now - aTime); };
  metrics_.Set("running_requests", double(state_.requests_.size()));
  metrics_.Set("live_instances", double(reports_.LiveCount()));
  metrics_.Set("deployment_version",
               state_.routes_ == nullptr
                 ? 0
                 : double(state_.routes_->Declared().version_.Value()));
  metrics_.Set("deployment_age_seconds", age(deploymentWatch_->LastUpdate()));
  metrics_.Set("server_list_age_seconds", age(serverWatch_->LastUpdate()));
  metrics_.Set("duty_epoch", double(duties_.HeldEpoch().Value()));
  metrics_.Set("leaving_servers", double(state_.leaving_.entries_.size()));
  metrics_.Set("duties_failed", double(duties_.Failures()));
  metrics_.Set("channels_opened", double(state_.channels_.Opened()));
  metrics_.Set("channels_idle", double(state_.channels_.IdleCount()));
  metrics_.Set("caller_connections", double(callers_->ConnectionCount()));
  metrics_.Set("client_connections", double(clients_->Connections()));
  metrics_.Set("client_bytes", double(clients_->HeldBytes()));
  for (std::size_t limit = 0; limit < kClientLimits; ++limit) {
    const auto name = ClientLimit(limit);
    metrics_.Set(std::string("client_limit_") + ToText(name),
                 double(clients_->Affected(name)));
  }
  metrics_.Set("server_crashes",
               double(state_.crashes_.record_.crashes_.size()));
  metrics_.Set("blocked_fingerprints",
               double(state_.crashes_.record_.blocks_.size()));
  metrics_.Set("log_lines_dropped", double(log_.Dropped()));
  metrics_.Set("wall_clock_offset_seconds", Seconds(state_.wallOffset_));
  return metrics_.Text();
}

void
Edge::Drain(std::function<void()> aDone)
{
  if (isDraining_) {
    return;
  }
  isDraining_ = true;
  drainStarted_ = loop_.GetClock().Now();
  state_.drainAcceptUntil_ = drainStarted_ + kDrainAcceptTime;
  state_.drainEnd_ = drainStarted_ + state_.bounds_.grace_ - kDrainReserve;
  onDrained_ = std::move(aDone);
  duties_.Stop();
  callers_->StartDrain();
  reports_.SendNow();
  LogLine line("drain_started");
  line.Add("running", std::uint64_t(state_.requests_.size()));
  log_.WriteImportant(line);
  CheckDrained();
}

void
Edge::StopRequests()
{
  if (state_.requests_.empty()) {
    return;
  }
  LogLine line("requests_stopped");
  line.Add("running", std::uint64_t(state_.requests_.size()));
  log_.WriteImportant(line);
  const std::set<RequestRun*> requests = state_.requests_;
  for (RequestRun* request : requests) {
    // A request that ends may end others.
    if (state_.requests_.count(request) != 0) {
      request->Stop();
    }
  }
}

void
Edge::CheckDrained()
{
  const Duration elapsed = loop_.GetClock().Now() - drainStarted_;
  if (elapsed >= kDrainAcceptTime) {
    callers_->StopAccepting();
  }
  const bool isDone =
    elapsed >= kDrainAcceptTime && callers_->ConnectionCount() == 0;
  const MonotonicTime now = loop_.GetClock().Now();
  if (now >= *state_.drainEnd_) {
    StopRequests();
  }
  if (isDone || now >= *state_.drainEnd_ + kLastAnswerTime) {
    LogLine line("drain_ended");
    line.Add("connections", std::uint64_t(callers_->ConnectionCount()));
    log_.WriteImportant(line);
    onDrained_();
    return;
  }
  drainTimer_ =
    loop_.CallAfter(kDrainCheckInterval, [this] { CheckDrained(); });
}

} // namespace sycamoreward::edge
