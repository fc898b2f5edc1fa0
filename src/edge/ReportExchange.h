#pragma once

// Tells the other entry instances what this one has sent, used and counted,
// and enters what they tell. Few instances tell each other everything; with
// more of them, each one reports to the collectors and gets a digest.

#include "base/Clock.h"
#include "edge/AddressAnswer.h"
#include "edge/Collectors.h"
#include "edge/EdgeState.h"
#include "edge/Placers.h"
#include "peer/PeerNetwork.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sycamoreward::edge {

// What this instance says of itself beside its counters.
struct SelfStatus
{
  bool isReady_ = false;
  bool isLeaving_ = false;
  FencingToken dutyEpoch_;
};

// Access to the tables that collectors pass on.
struct RowRelay
{
  // Versions up to which this instance has the tables.
  std::function<std::map<std::string, std::uint64_t>()> versions_;
  // Adds the rows that changed after the given versions.
  std::function<void(const std::map<std::string, std::uint64_t>& aVersions,
                     Digest& aDigest)>
    collect_;
  // Returns whether the digest has all tables.
  std::function<bool(const Digest& aDigest)> apply_;
  // Whether the store does not answer this instance.
  std::function<bool()> isStoreUnreachable_;
  // Called when a collector did not answer: the rows have to be read here.
  std::function<void()> onRowsMissing_;
};

class ReportExchange
{
public:
  ReportExchange(EdgeState& aState,
                 PeerNetwork& aNetwork,
                 const PeerIdentity& aSelf,
                 std::function<SelfStatus()> aStatus);
  ~ReportExchange();
  ReportExchange(const ReportExchange&) = delete;
  ReportExchange& operator=(const ReportExchange&) = delete;

  void SetRelay(RowRelay aRelay) { relay_ = std::move(aRelay); }

  // The other instances that the store lists.
  void SetMembers(const std::vector<PeerIdentity>& aMembers);

  // All instances, this one included, as callers may use them.
  std::vector<KnownInstance> Instances() const;
  // Instances that are known to live, this one included.
  std::size_t LiveCount() const;
  // The highest epoch that a live instance other than this one holds.
  FencingToken PeerDutyEpoch() const;
  // Prompt tokens a second that all engines of a service have to read.
  double Demand(const ServiceName& aService) const;
  // Requests that all live instances refused for lack of capacity.
  double Refused() const;
  // Middle of the wall clocks of the live instances, against this one's.
  Duration WallOffset() const;

  // Whether this instance reads the store itself: it is a collector, all
  // instances read it, or no collector answers.
  bool ReadsStore() const;
  // Instances that place the requests of all, the first to ask first. Empty
  // where each instance places its own.
  std::vector<PeerIdentity> Placers() const;
  // Place in the order in which instances take duties over.
  std::size_t DutyRank() const;
  // Among many instances: this one has no recent word of the others, since it
  // has just started, stood still or is cut off.
  bool IsIsolated() const;
  // How long the reports of nearly all live instances have come to this one
  // directly, so that its sums of them are whole. Zero while they don't.
  Duration ReportsCompleteFor() const;

  // All instances tell each other everything.
  bool IsMesh() const { return peers_.size() < kMaxMeshInstances; }

  void SendNow() { Send(false); }

  // Asks an instance that gathers reports whether this one may take aAmount
  // beyond its local bound. aOnAnswer gets false when none answers in time.
  void RequestQuota(const WorkspaceId& aWorkspace,
                    double aAmount,
                    std::function<void(bool aIsGranted)> aOnAnswer);

  // A prompt of aTokens was sent to an engine. Others are told soon, so that
  // they don't choose the same engine for the next one.
  void NoteSent(double aTokens);

private:
  struct Peer
  {
    PeerIdentity identity_;
    InstanceReport report_;
    // When the last report came, or a digest that names the instance as live.
    MonotonicTime lastSeen_;
    Duration wallOffset_{ 0 };
    bool hasReport_ = false;
    // What is known comes from a digest.
    bool isFromDigest_ = false;
    MonotonicTime knownSince_;
    // When the last report came from the instance itself, and the start of it
    // that reported.
    MonotonicTime lastDirectReport_;
    Incarnation reportedIncarnation_;
    // When a call to it last had no answer.
    MonotonicTime lastUnanswered_;
    // Use that its reports added while they came without a gap, by workspace.
    // Never falls, so that sums of it can be compared.
    std::map<std::string, std::uint64_t> reportedUse_;
  };

  void Tick();
  void Send(bool aIsLoadOnly);
  InstanceReport MakeReport(bool aIsLoadOnly);
  void AddServers(InstanceReport& aReport) const;
  void AddCounts(InstanceReport& aReport) const;
  void SendToCollectors(const Reports& aMessage);
  // A probe asks an instance that may be gone; its failure means nothing.
  void RequestDigest(const PeerIdentity& aCollector,
                     Reports aMessage,
                     bool aIsProbe);
  void ProbeMissingCollector(const Reports& aMessage);
  void OnRowsMissing();
  Digest MakeDigest(const InstanceId& aReceiver, const Reports& aRequest) const;
  void ApplyDigest(const InstanceId& aFrom, const Digest& aDigest);
  void ApplyDigestMembers(const Digest& aDigest);
  void ApplyReport(const InstanceReport& aReport);
  void RecordUse(Peer& aPeer, const InstanceReport& aReport);
  // Takes the load of aOld off the servers and adds that of aNew, which was
  // measured at aMeasuredAt.
  void ReplaceServerLoad(const InstanceReport& aOld,
                         const InstanceReport& aNew,
                         MonotonicTime aMeasuredAt);
  void DropSilent();
  bool IsLive(const Peer& aPeer) const;
  // Whether reports come from the instance itself.
  bool IsReporting(const Peer& aPeer) const;
  std::size_t ReportingCount() const;
  void UpdateReportsComplete();
  void OnQuotaRequest(const QuotaRequest& aRequest,
                      const PeerNetwork::Responder& aRespond);
  void UpdateCollectors();
  void UpdateShare();
  // Asks another instance for rows while the store does not answer this one.
  void RequestRows();
  void ApplyRows(const InstanceId& aFrom, const Digest& aDigest);
  BackendView* FindServer(const ServerId& aServer);

  EdgeState& state_;
  PeerNetwork& network_;
  PeerIdentity self_;
  std::function<SelfStatus()> status_;
  RowRelay relay_;
  std::map<InstanceId, Peer> peers_;
  // As of the last tick; empty when all tell each other everything.
  std::vector<InstanceId> collectors_;
  bool isCollector_ = false;
  std::vector<InstanceId> placers_;
  // Sums of the last digest, as a report of all others.
  InstanceReport others_;
  MonotonicTime lastDigest_;
  bool hasDigest_ = false;
  // Since when nearly all live instances have reported here; unset while they
  // don't.
  std::optional<MonotonicTime> reportsCompleteSince_;
  // No quota is asked for until then, by workspace: it was refused.
  std::map<WorkspaceId, MonotonicTime> nextQuotaRequest_;
  // When a digest last had all tables, and collectors that lacked one lately.
  MonotonicTime lastRows_;
  // The last call for a digest brought no rows.
  bool lacksRows_ = false;
  MonotonicTime lastProbe_;
  std::map<InstanceId, MonotonicTime> withoutRows_;
  std::uint64_t sequence_ = 0;
  std::uint64_t timer_ = 0;
  std::uint64_t loadTimer_ = 0;
};

} // namespace sycamoreward::edge
