#pragma once

// One entry instance on a platform whose store holds the deployment, the list
// of backend servers and the list of instances.

#include "edge/AddressAnswer.h"
#include "edge/BlockRows.h"
#include "edge/Cloud.h"
#include "edge/DutyTask.h"
#include "edge/EdgeState.h"
#include "edge/EraTracker.h"
#include "edge/PlacementExchange.h"
#include "edge/ReportExchange.h"
#include "edge/RowStore.h"
#include "edge/ServerList.h"
#include "edge/TableWatch.h"
#include "http/CallerServer.h"
#include "peer/WebSocketPeerNetwork.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamoreward::edge {

// Tables of the platform's store and the functions that decode their rows.
struct RowCodec
{
  std::string deploymentTable_;
  std::string deploymentKey_;
  std::string serverTable_;
  // Throws UserError when the row is malformed.
  Deployment (*decodeDeployment_)(const std::string& aValue);
  // Returns nullopt when the row does not describe a usable backend server.
  std::optional<BackendServer> (*decodeServer_)(const std::string& aKey,
                                                const std::string& aValue,
                                                MonotonicTime aNow);
};

struct EdgeOptions
{
  PeerIdentity self_;
  SystemBounds bounds_;
  // Listening addresses for the protocol between instances and for callers'
  // requests.
  Address peers_;
  Address callers_;
  // Seed of the random generator.
  std::uint64_t seed_ = 0;
};

class Edge
{
public:
  // Starts the instance. aClients accounts for the callers of all ports of the
  // process. Throws InternalError when an address can't be bound. All
  // references must outlive the object.
  Edge(EventLoop& aLoop,
       const EdgeOptions& aOptions,
       const WireCodec& aWire,
       const RowCodec& aRows,
       RowStore& aStore,
       Cloud& aCloud,
       DecisionLog& aLog,
       EdgeMetrics& aMetrics,
       std::shared_ptr<ClientAccounts> aClients);
  ~Edge();
  Edge(const Edge&) = delete;
  Edge& operator=(const Edge&) = delete;

  // Whether the instance is ready to accept requests.
  bool IsReady() const;
  // Addresses of entry instances that callers should use, in order of
  // preference.
  std::vector<Address> Addresses() const;
  // Metrics in Prometheus text format.
  std::string MetricsText();

  // Shuts down gracefully: accepts requests for a short time, finishes the
  // running ones and calls aDone. aDone is called before the platform kills the
  // process, even if requests are still running.
  void Drain(std::function<void()> aDone);

private:
  void SetUpRelay();
  void OnDeploymentRows();
  void OnServerRows();
  void OnStoreRecovered(Duration aOutage);
  // Handles the return of the store from an older copy. Servers and instances
  // write the rows that were lost again.
  void OnStoreRestored();
  // Adds this instance to the table of instances and reads the others. An empty
  // table means that the system starts for the first time.
  void Join();
  void ReadMembers();
  void ScheduleMemberRead(Duration aDelay);
  void WriteMember();
  // Logs a call for the table of instances. An instance whose calls fail does
  // not know the others.
  void LogMemberCall(const char* aCall, bool aIsAnswered);
  void OnMembers(const StoreReply& aReply);
  // Switches between reading the store directly and using rows relayed by
  // collectors.
  void UpdateStoreReading();
  void Tick();
  void CheckDrained();
  // Answers the requests that still run.
  void StopRequests();

  EventLoop& loop_;
  EdgeOptions options_;
  RowCodec rows_;
  DecisionLog& log_;
  EdgeMetrics& metrics_;
  EdgeState state_;
  EraTracker store_;
  ServerList servers_;
  WebSocketPeerNetwork network_;
  DutyTask duties_;
  ReportExchange reports_;
  PlacementExchange placementExchange_;
  BlockRows blockRows_;
  std::shared_ptr<ClientAccounts> clients_;
  std::unique_ptr<TableWatch> deploymentWatch_;
  // The row of the deployment in force.
  std::string deploymentInForce_;
  std::unique_ptr<TableWatch> serverWatch_;
  std::unique_ptr<http::CallerServer> callers_;
  MonotonicTime started_;
  bool wasReady_ = false;
  bool isMemberWritten_ = false;
  bool isMemberWriteStarted_ = false;
  bool isDraining_ = false;
  MonotonicTime drainStarted_;
  std::function<void()> onDrained_;
  std::uint64_t tickTimer_ = 0;
  std::uint64_t memberTimer_ = 0;
  std::uint64_t memberReadTimer_ = 0;
  std::uint64_t entryLapseTimer_ = 0;
  std::uint64_t heldOutTimer_ = 0;
  std::uint64_t drainTimer_ = 0;
};

} // namespace sycamoreward::edge
