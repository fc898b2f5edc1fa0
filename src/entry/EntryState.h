#pragma once

// The components of one entry instance, declared in the order in which they
// depend on one another.

#include "sycamoreward/EntryInstance.h"

#include "configuration/ConfigurationStore.h"
#include "configuration/ConfigurationTask.h"
#include "configuration/FeedExchange.h"
#include "configuration/ServerFeed.h"
#include "entry/ClaimQuery.h"
#include "entry/ProcessUsage.h"
#include "fleet/FleetTask.h"
#include "ledger/Journal.h"
#include "ledger/LedgerClient.h"
#include "ledger/Registrar.h"
#include "limits/ClientAccounts.h"
#include "membership/MembershipTask.h"
#include "operators/ResourceApi.h"
#include "peer/WebSocketPeerNetwork.h"
#include "recovery/NoticeWatch.h"
#include "requests/CallerApi.h"
#include "routing/PoolScheduler.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "runtime/HttpServer.h"
#include "settings/Settings.h"
#include "store/DynamoTable.h"
#include "store/S3ObjectStore.h"
#include "telemetry/Log.h"
#include "telemetry/Metrics.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace sycamoreward {

struct EntryInstance::State
{
  State(EventLoop& aLoop, const Settings& aSettings);

  void HandleCaller(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleOperator(const std::shared_ptr<HttpExchange>& aExchange);
  PeerIdentity MakeIdentity() const;
  RequestContext MakeRequestContext();
  void FetchInstanceList(
    std::uint64_t aSince,
    std::function<void(std::optional<std::string>)> aOnText);
  bool IsReady() const;
  bool IsFleetCandidate() const;
  std::string MetricsText();
  void ConnectComponents();
  void Start();
  void OnReclaimNotice(Duration aLeft);
  void Leave();
  bool IsDrained() const;
  void CheckDrained();
  void FinishReclaim();

  EventLoop& loop_;
  Settings settings_;
  std::shared_ptr<spdlog::logger> log_ = LogFor("entry");
  std::mt19937_64 random_;
  Metrics metrics_;
  // For calls to backend servers.
  HttpClient client_;
  // For load polls, the instance list and reclaim notices. A client of its own,
  // so that this traffic is counted separately.
  HttpClient controlClient_;
  // For the table and the object store.
  HttpClient storeClient_;
  std::shared_ptr<ClientAccounts> clients_;
  HttpServer callerServer_;
  HttpServer operatorServer_;
  WebSocketPeerNetwork network_;
  MembershipTask membership_;
  DynamoTable table_;
  S3ObjectStore objects_;
  FeedExchange feeds_;
  ConfigurationStore configurationStore_;
  ConfigurationTask configuration_;
  ServerFeed servers_;
  PoolScheduler scheduler_;
  RequestContext context_;
  Journal journal_;
  Registrar registrar_;
  LedgerClient ledger_;
  CallerApi callerApi_;
  ResourceApi resourceApi_;
  LeaseTask fleetLease_;
  FleetTask fleet_;
  std::unique_ptr<NoticeWatch> noticeWatch_;
  bool isLeaving_ = false;
  std::function<void()> onDrained_;
  std::function<void()> onReclaimed_;
  // A reclaim notice was received.
  bool isReclaimed_ = false;
  EventLoop::TimerId drainTimer_ = 0;
  EventLoop::TimerId reclaimTimer_ = 0;
};

} // namespace sycamoreward
