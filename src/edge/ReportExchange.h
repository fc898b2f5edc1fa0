#pragma once

// Exchanges reports between entry instances: what each has sent, used and
// counted. With few instances, each one reports to all others (a mesh); with
// more of them, each one reports to the collectors and receives a digest.

#include "base/Clock.h"
#include "edge/AddressAnswer.h"
#include "edge/Collectors.h"
#include "edge/EdgeState.h"
#include "edge/Placers.h"
#include "edge/RelayedRows.h"
#include "edge/RowCatchUp.h"
#include "peer/PeerNetwork.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace sycamoreward::edge {

// Status that this instance reports in addition to its counters.
struct SelfStatus
{
  bool isReady_ = false;
  bool isLeaving_ = false;
  FencingToken dutyEpoch_;
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

  // Sets the access to the relayed tables.
  void SetRelay(RowRelay aRelay) { relay_ = std::move(aRelay); }

  // Adds the instances that the store lists. They are never removed. Until the
  // first call this instance does not know with how many others it shares the
  // quotas.
  void SetMembers(const std::vector<PeerIdentity>& aMembers);

  bool KnowsMembers() const { return knowsMembers_; }

  // Returns all instances, this one included, as candidates for addresses given
  // to callers.
  std::vector<KnownInstance> Instances() const;
  // Returns the number of live instances, this one included.
  std::size_t LiveCount() const;
  // Returns the highest duty epoch that a live instance other than this one
  // holds.
  FencingToken PeerDutyEpoch() const;
  // Returns the prompt tokens per second that all engines of a service have to
  // read.
  double Demand(const ServiceName& aService) const;
  // Returns the number of requests that all live instances refused for lack of
  // capacity.
  double Refused() const;
  // Returns the median offset of the live instances' wall clocks from this
  // one's.
  Duration WallOffset() const;

  // Returns whether this instance reads the store itself, because it is a
  // collector, all instances read it, or no collector answers.
  bool ReadsStore() const;
  // Returns the instances that place the requests of all instances, in the
  // order in which to ask them. Empty if each instance places its own.
  std::vector<PeerIdentity> Placers() const;
  // Returns the place of this instance in the order of succession for the
  // duties, 0 for the first.
  std::size_t DutyRank() const;
  // Returns whether this instance, as one of many, has no recent reports of the
  // others, because it has just started, was suspended or is partitioned from
  // them.
  bool IsIsolated() const;
  // Returns for how long nearly all live instances have been reporting to this
  // one directly, so that its sums over them are complete. Zero while they are
  // not.
  Duration ReportsCompleteFor() const;

  // Returns whether there are so few instances that each one reports to all
  // others.
  bool IsMesh() const { return peers_.size() < kMaxMeshInstances; }

  // Sends a full report without waiting for the next interval.
  void SendNow() { Send(false); }

  // Asks a collector whether this instance may consume aAmount beyond its local
  // limit, or in a mesh waits until all others have confirmed enough of its
  // use. aOnAnswer gets false if that does not happen in time.
  void RequestQuota(const WorkspaceId& aWorkspace,
                    double aAmount,
                    std::function<void(bool aIsGranted)> aOnAnswer);

  // Records that a prompt of aTokens was sent to an engine. In a mesh, a long
  // prompt is reported soon, so that the others do not choose the same engine
  // for their next one.
  void NoteSent(double aTokens);

  // Reports load and use soon. Has no effect unless this is a mesh.
  void ReportSoon();

  // Reports crashes of servers soon, in a mesh or to the collectors.
  void ReportCrashes() { ScheduleLoadReport(); }

private:
  // What this instance knows of another one.
  struct Peer
  {
    PeerIdentity identity_;
    InstanceReport report_;
    // When the last report came, or the last digest that lists the instance as
    // live.
    MonotonicTime lastSeen_;
    Duration wallOffset_{ 0 };
    bool hasReport_ = false;
    // Whether the current state of the instance comes from a digest.
    bool isFromDigest_ = false;
    MonotonicTime knownSince_;
    // When the last full report came from the instance itself, and the
    // incarnation that sent it.
    MonotonicTime lastDirectReport_;
    Incarnation reportedIncarnation_;
    // When a call to it was last left unanswered.
    MonotonicTime lastUnanswered_;
    // Sequence number of the last report of this instance that it has applied.
    std::uint64_t heardSequence_ = 0;
    // Use that its reports added while they arrived without a gap, by
    // workspace. It never decreases, so that sums of it can be compared.
    std::map<std::string, std::uint64_t> reportedUse_;
  };

  void Tick();
  void ScheduleLoadReport();
  // Sends a report to all instances of a mesh, or to the collectors. With
  // aIsLoadOnly it carries the load of the servers but no counters.
  void Send(bool aIsLoadOnly);
  InstanceReport MakeReport(bool aIsLoadOnly);
  // The time from which on a report names crashes: a full one all of the last
  // time, another one only what no report has named.
  MonotonicTime CrashesSince(bool aIsLoadOnly) const;
  void AddServers(InstanceReport& aReport) const;
  void AddCounts(InstanceReport& aReport) const;
  // With aAsksForDigest one collector answers with a digest.
  void SendToCollectors(const Reports& aMessage, bool aAsksForDigest);
  // A probe asks an instance that may be gone, so its failure is ignored apart
  // from noting that it did not answer.
  void RequestDigest(const PeerIdentity& aCollector,
                     Reports aMessage,
                     bool aIsProbe);
  // Asks one collector of the whole system that is not live in this view for a
  // digest.
  void ProbeMissingCollector(const Reports& aMessage);
  void OnRowsMissing();
  Digest MakeDigest(const InstanceId& aReceiver, const Reports& aRequest);
  // Collects the crashes for digests, unless that was done a moment ago.
  void UpdateCrashNews();
  void ApplyDigest(const InstanceId& aFrom, const Digest& aDigest);
  void ApplyDigestMembers(const Digest& aDigest);
  void ApplyReport(const InstanceReport& aReport);
  void RecordUse(Peer& aPeer, const InstanceReport& aReport);
  // Adds the use that the others have not confirmed to aReport, or all use.
  void AddUse(InstanceReport& aReport) const;
  // Records which report of this instance the sender of aMessage has applied.
  void RecordHeard(const PeerIdentity& aSender, const Reports& aMessage);
  // Confirms the use that all live instances know.
  void ConfirmUseOfHeardReports();
  // Subtracts the load in aOld from the servers and adds the load in aNew,
  // which was measured at aMeasuredAt.
  void ReplaceServerLoad(const InstanceReport& aOld,
                         const InstanceReport& aNew,
                         MonotonicTime aMeasuredAt);
  void DropSilent();
  bool IsLive(const Peer& aPeer) const;
  // Returns whether the instance itself has reported recently.
  bool IsReporting(const Peer& aPeer) const;
  std::size_t ReportingCount() const;
  void UpdateReportsComplete();
  void OnQuotaRequest(const QuotaRequest& aRequest,
                      const PeerNetwork::Responder& aRespond);
  void UpdateCollectors();
  void UpdateShare();
  // Sets the instances that share the limits of servers.
  void UpdateLimitSharers();
  void ApplyRows(const InstanceId& aFrom, const Digest& aDigest);
  BackendView* FindServer(const ServerId& aServer);

  EdgeState& state_;
  PeerNetwork& network_;
  PeerIdentity self_;
  std::function<SelfStatus()> status_;
  RowRelay relay_;
  RowCatchUp catchUp_;
  std::map<InstanceId, Peer> peers_;
  // As of the last tick; empty in a mesh.
  std::vector<InstanceId> collectors_;
  bool isCollector_ = false;
  std::vector<InstanceId> placers_;
  // Crashes as in the last digest, and when they were collected.
  std::vector<ServerCrash> crashNews_;
  std::vector<FingerprintStatus> fingerprintNews_;
  MonotonicTime crashNewsAt_;
  MonotonicTime lastCrashReport_;
  // Sums of the last digest, in the form of a report over all other instances.
  InstanceReport others_;
  MonotonicTime lastDigest_;
  bool hasDigest_ = false;
  // Since when nearly all live instances have been reporting to this one; unset
  // while they are not.
  std::optional<MonotonicTime> reportsCompleteSince_;
  // Fraction of each quota that was last logged.
  double loggedShare_ = 0;
  // After a refusal no quota is requested before this time, by workspace.
  std::map<WorkspaceId, MonotonicTime> nextQuotaRequest_;
  // When a digest last had all tables.
  MonotonicTime lastRows_;
  // The last call for a digest did not bring all rows.
  bool lacksRows_ = false;
  // When a missing collector was last probed.
  MonotonicTime lastProbe_;
  // When the digest of a collector last lacked a table.
  std::map<InstanceId, MonotonicTime> withoutRows_;
  // Use that a report of this instance told the others.
  struct ReportedUse
  {
    std::uint64_t sequence_ = 0;
    std::map<std::string, std::uint64_t> used_;
  };
  // A request that waits until the others have confirmed use.
  struct Waiter
  {
    WorkspaceId workspace_;
    double amount_ = 0;
    std::function<void(bool aIsGranted)> onAnswer_;
    MonotonicTime until_;
  };
  void AwaitConfirmation(Waiter aWaiter);
  // Answers the waiters that can be granted now, and those whose time is over.
  void AnswerWaiters();

  // Waiters by the time at which they came.
  std::list<Waiter> waiters_;
  // Reports that not all live instances have confirmed, the oldest first.
  std::deque<ReportedUse> unconfirmed_;
  bool knowsMembers_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t timer_ = 0;
  std::uint64_t loadTimer_ = 0;
  std::uint64_t waiterTimer_ = 0;
};

} // namespace sycamoreward::edge
