// The part of ReportExchange that communicates with collectors: digests of
// sums, and rows of the store.

#include "edge/CrashReports.h"
#include "edge/ReportExchange.h"
#include "edge/ReportTimes.h"
#include "edge/ServerLimits.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Interval at which an instance probes a collector of the whole system from
// which it receives no reports. Without probes, two partitioned groups with
// collectors of their own would not find each other again.
constexpr Duration kProbeInterval = std::chrono::seconds(4);

// Crashes for digests are collected again after this time, because a collector
// makes many digests each second.
constexpr Duration kCrashNewsAge = std::chrono::milliseconds(100);

// Values per server in a digest: running requests, unread tokens, slowness in
// percent, and its age in milliseconds.
constexpr std::size_t kServerValues = 4;

// Values per member in a digest: incarnation, flags for ready and leaving, and
// duty epoch.
constexpr std::size_t kMemberValues = 3;

} // namespace

void
ReportExchange::SendToCollectors(const Reports& aMessage, bool aAsksForDigest)
{
  // A collector without reports from the others may be a collector in its own
  // view only, so it asks for a digest, too.
  bool hasAsked = !aAsksForDigest || (isCollector_ && !IsIsolated());
  const MonotonicTime now = state_.loop_.GetClock().Now();
  std::vector<InstanceId> targets = collectors_;
  // The holder of the duties needs the counts of all instances.
  for (const auto& [id, peer] : peers_) {
    const bool isHolder = IsLive(peer) && peer.report_.dutyEpoch_.Value() != 0;
    if (isHolder &&
        std::find(targets.begin(), targets.end(), id) == targets.end()) {
      targets.push_back(id);
    }
  }
  for (const InstanceId& target : targets) {
    const auto found = peers_.find(target);
    if (found == peers_.end()) {
      continue;
    }
    const auto lacking = withoutRows_.find(target);
    const bool isLast = target == targets.back();
    const bool lacksRows =
      lacking != withoutRows_.end() && now - lacking->second < kPeerGoneTimeout;
    // An unresponsive collector is skipped, although other collectors may still
    // receive its reports and list it as live.
    const MonotonicTime unanswered = found->second.lastUnanswered_;
    const bool isSilent =
      unanswered != MonotonicTime() && now - unanswered < kCollectedPeerTimeout;
    const bool isSkipped = !isLast && (lacksRows || isSilent);
    if (hasAsked || isSkipped) {
      network_.Send(found->second.identity_, aMessage);
    } else {
      hasAsked = true;
      RequestDigest(found->second.identity_, aMessage, false);
    }
  }
  ProbeMissingCollector(aMessage);
}

void
ReportExchange::ProbeMissingCollector(const Reports& aMessage)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (now - lastProbe_ < kProbeInterval) {
    return;
  }
  lastProbe_ = now;
  std::vector<CollectorCandidate> candidates;
  candidates.push_back({ self_.instance_, self_.strength_, true });
  for (const auto& [id, peer] : peers_) {
    candidates.push_back(
      { id, peer.identity_.strength_, !peer.report_.isLeaving_ });
  }
  for (const InstanceId& id : ChooseStrongest(candidates, kCollectors)) {
    const auto found = peers_.find(id);
    if (found != peers_.end() && !IsLive(found->second)) {
      RequestDigest(found->second.identity_, aMessage, true);
      return;
    }
  }
}

void
ReportExchange::OnRowsMissing()
{
  lacksRows_ = true;
  if (relay_.onRowsMissing_) {
    relay_.onRowsMissing_();
  }
}

void
ReportExchange::RequestDigest(const PeerIdentity& aCollector,
                              Reports aMessage,
                              bool aIsProbe)
{
  aMessage.wantsDigest_ = true;
  if (relay_.addVersions_) {
    relay_.addVersions_(aMessage);
  }
  network_.Call(
    aCollector,
    std::move(aMessage),
    kDigestTimeout,
    [this, id = aCollector.instance_, aIsProbe](const PeerReply& aReply) {
      if (aReply.message_.has_value() &&
          std::holds_alternative<Digest>(*aReply.message_)) {
        ApplyDigest(id, std::get<Digest>(*aReply.message_));
        return;
      }
      // The next collector will be asked. The unresponsive one stays in the
      // list of collectors while other instances receive its reports: if the
      // lists differed, each collector would receive reports of only some
      // instances.
      const auto found = peers_.find(id);
      if (found != peers_.end()) {
        found->second.lastUnanswered_ = state_.loop_.GetClock().Now();
      }
      if (!aIsProbe) {
        OnRowsMissing();
      }
    });
}

Digest
ReportExchange::MakeDigest(const InstanceId& aReceiver, const Reports& aRequest)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  struct Sum
  {
    std::uint64_t running_ = 0;
    std::uint64_t unread_ = 0;
    std::uint64_t slowness_ = 0;
    std::uint64_t age_ = 0;
  };
  std::map<ServerId, Sum> servers;
  Digest digest;
  const auto add = [&](const InstanceReport& aReport, Duration aAge) {
    const auto age = std::uint64_t(aAge.count() / 1000);
    for (const ServerUse& use : aReport.servers_) {
      Sum& sum = servers[use.server_];
      sum.running_ += use.running_;
      sum.unread_ += use.unreadTokens_;
      const std::uint64_t slownessAge = use.slownessAgeMs_ + age;
      if (use.slownessPercent_ > 0 &&
          (sum.slowness_ == 0 || slownessAge < sum.age_)) {
        sum.slowness_ = use.slownessPercent_;
        sum.age_ = slownessAge;
      }
    }
    for (const auto& [service, demand] : aReport.demand_) {
      digest.demand_[service] += demand;
    }
    digest.refused_ += aReport.refused_;
  };
  const auto addMember = [&](const PeerIdentity& aIdentity,
                             bool aIsReady,
                             bool aIsLeaving,
                             FencingToken aEpoch) {
    digest.members_.push_back(aIdentity.instance_.Value());
    digest.memberValues_.push_back(aIdentity.incarnation_.Value());
    digest.memberValues_.push_back((aIsReady ? 1 : 0) + (aIsLeaving ? 2 : 0));
    digest.memberValues_.push_back(aEpoch.Value());
  };
  InstanceReport own;
  AddServers(own);
  AddCounts(own);
  digest.used_ = own.used_;
  digest.limits_ = own.limits_;
  digest.leaving_ = own.leaving_;
  UpdateCrashNews();
  digest.crashes_ = crashNews_;
  digest.fingerprints_ = fingerprintNews_;
  add(own, Duration(0));
  addMember(self_, own.isReady_, own.isLeaving_, own.dutyEpoch_);
  for (const auto& [id, peer] : peers_) {
    if (id == aReceiver) {
      continue;
    }
    // Included even for a silent instance, because the sum of the use must not
    // decrease.
    for (const auto& [workspace, used] : peer.reportedUse_) {
      digest.used_[workspace] += used;
    }
    if (!peer.hasReport_ || peer.isFromDigest_ || !IsLive(peer)) {
      continue;
    }
    add(peer.report_, now - peer.lastSeen_);
    addMember(peer.identity_,
              peer.report_.isReady_,
              peer.report_.isLeaving_,
              peer.report_.dutyEpoch_);
  }
  for (const auto& [id, sum] : servers) {
    digest.servers_.push_back(id.Value());
    digest.serverValues_.insert(
      digest.serverValues_.end(),
      { sum.running_, sum.unread_, sum.slowness_, sum.age_ });
  }
  if (relay_.collect_) {
    relay_.collect_(aRequest, IsMesh(), digest);
  }
  return digest;
}

void
ReportExchange::UpdateCrashNews()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (crashNewsAt_ != MonotonicTime() && now - crashNewsAt_ < kCrashNewsAge) {
    return;
  }
  crashNewsAt_ = now;
  crashNews_.clear();
  fingerprintNews_.clear();
  AddRecurrentCrashes(state_, crashNews_, fingerprintNews_);
}

void
ReportExchange::ApplyDigest(const InstanceId& aFrom, const Digest& aDigest)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  lastDigest_ = now;
  hasDigest_ = true;
  ApplyDigestMembers(aDigest);
  ApplyRows(aFrom, aDigest);
  ApplyRelayedLimits(state_, aDigest.limits_);
  ApplyRelayedLeaving(state_, aDigest.leaving_);
  ApplyCrashes(state_, aDigest.crashes_, aDigest.fingerprints_);
  SetInstanceCount(state_, LiveCount());
  if (isCollector_) {
    // A collector uses the reports themselves, once they arrive.
    return;
  }
  InstanceReport others;
  const std::size_t count = std::min(
    aDigest.servers_.size(), aDigest.serverValues_.size() / kServerValues);
  for (std::size_t index = 0; index < count; ++index) {
    const std::uint64_t* values = &aDigest.serverValues_[index * kServerValues];
    others.servers_.push_back({ ServerId(aDigest.servers_[index]),
                                values[0],
                                values[1],
                                values[2],
                                values[3] });
  }
  others.used_ = aDigest.used_;
  others.demand_ = aDigest.demand_;
  others.refused_ = aDigest.refused_;
  // The reports that were summed up are half an interval old on average.
  ReplaceServerLoad(others_, others, now - kCollectorInterval / 2);
  others_ = std::move(others);
  const auto source = peers_.find(aFrom);
  if (source == peers_.end()) {
    return;
  }
  for (const auto& [workspace, used] : others_.used_) {
    RecordAggregateUse(state_.quotas_[WorkspaceId(workspace)],
                       { aFrom, source->second.identity_.incarnation_ },
                       double(used),
                       now);
  }
}

void
ReportExchange::ApplyDigestMembers(const Digest& aDigest)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const std::size_t count = std::min(
    aDigest.members_.size(), aDigest.memberValues_.size() / kMemberValues);
  for (std::size_t index = 0; index < count; ++index) {
    const auto found = peers_.find(InstanceId(aDigest.members_[index]));
    if (found == peers_.end()) {
      continue;
    }
    Peer& peer = found->second;
    if (isCollector_ && IsReporting(peer)) {
      continue;
    }
    if (!peer.isFromDigest_) {
      ReplaceServerLoad(peer.report_, {}, {});
      peer.report_.servers_.clear();
    }
    const std::uint64_t* values = &aDigest.memberValues_[index * kMemberValues];
    peer.identity_.incarnation_ = Incarnation(values[0]);
    peer.report_.isReady_ = (values[1] & 1) != 0;
    peer.report_.isLeaving_ = (values[1] & 2) != 0;
    peer.report_.dutyEpoch_ = FencingToken(values[2]);
    peer.hasReport_ = true;
    peer.isFromDigest_ = true;
    peer.lastSeen_ = now;
  }
}

void
ReportExchange::ApplyRows(const InstanceId& aFrom, const Digest& aDigest)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  lacksRows_ = relay_.apply_ && !relay_.apply_(aDigest);
  if (lacksRows_) {
    withoutRows_[aFrom] = now;
  } else {
    lastRows_ = now;
  }
}

} // namespace sycamoreward::edge
