#include "edge/ReportExchange.h"

#include "base/DurationUnits.h"
#include "edge/CrashReports.h"
#include "edge/MessageCount.h"
#include "edge/ReportTimes.h"
#include "edge/ServerLimits.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Reading a long prompt takes an engine 200 to 300 ms, so reports have to be
// more frequent than that to keep two instances from choosing the same engine.
constexpr Duration kReportInterval = std::chrono::milliseconds(150);
// Minimum length of a prompt that is reported early. Such a prompt keeps an
// engine busy for longer than a message between instances takes.
constexpr double kMinLoadReportTokens = 300;
// Prompts sent within this time are reported with one message.
constexpr Duration kLoadReportDelay = std::chrono::milliseconds(12);
// The same with collectors, which hear from all instances. Many servers can
// crash within a second.
constexpr Duration kCollectedLoadReportDelay = std::chrono::milliseconds(200);
// An instance that has received no digest for this time reads the store itself.
constexpr Duration kMaxDigestAge = std::chrono::milliseconds(2800);
// An instance to which this many others report is a collector in their view,
// too. The collectors report to each other and to the holder of the duties, so
// receiving only a few reports proves nothing.
constexpr std::size_t kMinReporting = 2 * kCollectors;
// Fraction of the live instances whose reports make a sum complete. The others
// may have just started or be about to end.
constexpr double kCompleteFraction = 0.9;
// An instance without a report for this time is not offered to callers, and its
// load is not counted.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1200);
// Number of windows that a report carries: those whose usage is not reported to
// the platform yet.
constexpr std::uint64_t kReportedWindows = 4;
// Reports that are kept until the others confirm them. The oldest are dropped
// while an instance is silent.
constexpr std::size_t kMaxUnconfirmedReports = 128;
// Time in which the answers that other instances have received are reported
// here: with few instances two intervals, otherwise the digests that tell of
// the crash and of the answer.
constexpr Duration kMeshSettleTime = 2 * kReportInterval;
constexpr Duration kCollectedSettleTime = 2 * kCollectorInterval;
// Time for which a crash is named in full reports. With the early one, two or
// three reports name it to each collector.
constexpr Duration kCrashReportTime = std::chrono::milliseconds(1500);
// Age above which the slowness that a backend server reported is not forwarded.
constexpr Duration kMaxSlownessAge = std::chrono::milliseconds(600);

} // namespace

ReportExchange::ReportExchange(EdgeState& aState,
                               PeerNetwork& aNetwork,
                               const PeerIdentity& aSelf,
                               std::function<SelfStatus()> aStatus)
  : state_(aState)
  , network_(aNetwork)
  , self_(aSelf)
  , status_(std::move(aStatus))
  , catchUp_(aState.loop_, aNetwork, relay_)
{
  network_.OnMessage<Reports>([this](const PeerIdentity& aFrom,
                                     const Message& aMessage,
                                     const PeerNetwork::Responder& aRespond) {
    const auto& reports = std::get<Reports>(aMessage);
    for (const InstanceReport& report : reports.reports_) {
      ApplyReport(report);
    }
    RecordHeard(aFrom, reports);
    catchUp_.OnReports(aFrom, reports);
    if (reports.wantsDigest_) {
      aRespond(MakeDigest(aFrom.instance_, reports));
    }
  });
  network_.OnMessage<QuotaRequest>(
    [this](const PeerIdentity& /*aFrom*/,
           const Message& aMessage,
           const PeerNetwork::Responder& aRespond) {
      OnQuotaRequest(std::get<QuotaRequest>(aMessage), aRespond);
    });
  // Without knowing the others, an instance would use all of each quota.
  state_.quotaShare_.share_ = 0;
  timer_ = state_.loop_.CallAfter(kReportInterval, [this] { Tick(); });
}

ReportExchange::~ReportExchange()
{
  state_.loop_.CancelTimer(timer_);
  state_.loop_.CancelTimer(loadTimer_);
  state_.loop_.CancelTimer(waiterTimer_);
}

void
ReportExchange::SetMembers(const std::vector<PeerIdentity>& aMembers)
{
  for (const PeerIdentity& member : aMembers) {
    if (member.instance_ == self_.instance_) {
      continue;
    }
    Peer& peer = peers_[member.instance_];
    if (peer.knownSince_ == MonotonicTime()) {
      peer.knownSince_ = state_.loop_.GetClock().Now();
    }
    if (!peer.hasReport_ || peer.identity_.incarnation_ < member.incarnation_) {
      peer.identity_ = member;
    }
  }
  if (!knowsMembers_) {
    knowsMembers_ = true;
    UpdateShare();
  }
}

void
ReportExchange::Tick()
{
  DropSilent();
  UpdateCollectors();
  UpdateReportsComplete();
  UpdateShare();
  state_.crashes_.record_.settleTime_ =
    IsMesh() ? kMeshSettleTime : kCollectedSettleTime;
  UpdateBlocked(state_);
  Send(false);
  timer_ = state_.loop_.CallAfter(
    IsMesh() ? kReportInterval : kCollectorInterval, [this] { Tick(); });
}

void
ReportExchange::NoteSent(double aTokens)
{
  if (aTokens >= kMinLoadReportTokens) {
    ReportSoon();
  }
}

void
ReportExchange::ReportSoon()
{
  if (IsMesh()) {
    ScheduleLoadReport();
  }
}

void
ReportExchange::ScheduleLoadReport()
{
  if (loadTimer_ != 0) {
    return;
  }
  const Duration delay =
    IsMesh() ? kLoadReportDelay : kCollectedLoadReportDelay;
  loadTimer_ = state_.loop_.CallAfter(delay, [this] {
    loadTimer_ = 0;
    Send(true);
  });
}

InstanceReport
ReportExchange::MakeReport(bool aIsLoadOnly)
{
  InstanceReport report;
  report.identity_ = self_;
  report.sequence_ = ++sequence_;
  report.isLoadOnly_ = aIsLoadOnly;
  report.sent_ = state_.loop_.GetClock().Wall();
  AddServers(report);
  AddSeenCrashes(
    state_, CrashesSince(aIsLoadOnly), report.crashes_, report.fingerprints_);
  lastCrashReport_ = state_.loop_.GetClock().Now();
  if (!aIsLoadOnly) {
    AddCounts(report);
  }
  if (IsMesh()) {
    AddUse(report);
    if (unconfirmed_.size() >= kMaxUnconfirmedReports) {
      unconfirmed_.pop_front();
    }
    unconfirmed_.push_back({ report.sequence_, report.used_ });
  }
  return report;
}

MonotonicTime
ReportExchange::CrashesSince(bool aIsLoadOnly) const
{
  const MonotonicTime all = state_.loop_.GetClock().Now() - kCrashReportTime;
  return aIsLoadOnly ? std::max(lastCrashReport_, all) : all;
}

void
ReportExchange::Send(bool aIsLoadOnly)
{
  if (peers_.empty()) {
    return;
  }
  Reports message;
  message.reports_.push_back(MakeReport(aIsLoadOnly));
  if (!aIsLoadOnly && relay_.addChanges_) {
    relay_.addChanges_(message);
  }
  if (!IsMesh()) {
    SendToCollectors(message, !aIsLoadOnly);
    return;
  }
  for (const auto& [id, peer] : peers_) {
    const bool isHeard = peer.hasReport_ && IsLive(peer);
    message.heardIncarnation_ =
      isHeard ? peer.reportedIncarnation_ : Incarnation();
    message.heardSequence_ = isHeard ? peer.report_.sequence_ : 0;
    message.wantsHeard_ = !waiters_.empty();
    network_.Send(peer.identity_, message);
  }
}

void
ReportExchange::UpdateCollectors()
{
  std::vector<CollectorCandidate> candidates;
  candidates.push_back(
    { self_.instance_, self_.strength_, !status_().isLeaving_ });
  // Without recent reports all instances are assumed to be live, so that this
  // one asks the real collectors when the whole system starts. Its own view
  // alone would make it a collector to which nobody reports.
  const bool isIsolated = IsIsolated();
  for (const auto& [id, peer] : peers_) {
    const bool hasAnswered =
      peer.lastUnanswered_ == MonotonicTime() ||
      state_.loop_.GetClock().Now() - peer.lastUnanswered_ >= kPeerGoneTimeout;
    const bool isLive =
      (IsLive(peer) || (isIsolated && hasAnswered)) && !peer.report_.isLeaving_;
    candidates.push_back({ id, peer.identity_.strength_, isLive });
  }
  collectors_ = ChooseStrongest(candidates, kCollectors);
  placers_ = ChooseStrongest(candidates, kMaxPlacers);
  isCollector_ =
    std::find(collectors_.begin(), collectors_.end(), self_.instance_) !=
    collectors_.end();
  if (isCollector_ || IsMesh()) {
    // The reports themselves replace the sums of the digest.
    ReplaceServerLoad(others_, {}, {});
    others_ = {};
  }
}

void
ReportExchange::UpdateShare()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const bool isIsolated = IsIsolated();
  std::size_t live = 1;
  std::size_t silent = 0;
  for (const auto& [id, peer] : peers_) {
    const MonotonicTime last = std::max(peer.lastSeen_, peer.knownSince_);
    if (IsLive(peer) && !isIsolated) {
      ++live;
    } else if (now - last < kPeerGoneTimeout) {
      ++silent;
    }
  }
  // An instance with few live peers is probably the one that is partitioned, so
  // the silent instances are assumed to be running for as long as this lasts.
  if (live * 2 < peers_.size() + 1) {
    silent = peers_.size() + 1 - live;
  }
  const double share = knowsMembers_ ? double(live) / double(live + silent) : 0;
  if (share != loggedShare_) {
    loggedShare_ = share;
    LogLine line("quota_share");
    line.Add("share", share)
      .Add("live", std::uint64_t(live))
      .Add("silent", std::uint64_t(silent))
      .Add("known", std::uint64_t(peers_.size() + 1));
    state_.log_.WriteImportant(line);
  }
  state_.quotaShare_ = { share, live, !IsMesh(), IsMesh() && !peers_.empty() };
  for (auto& [workspace, quota] : state_.quotas_) {
    SetShare(quota, state_.quotaShare_, now);
  }
  ConfirmUseOfHeardReports();
  UpdateLimitSharers();
}

void
ReportExchange::UpdateLimitSharers()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  // An instance that has lost most others is probably the one that is
  // partitioned, and the others go on.
  const bool isMinority = LiveCount() * 2 < peers_.size() + 1;
  state_.limitSharers_.clear();
  if (knowsMembers_) {
    state_.limitSharers_.push_back(self_.instance_);
    for (const auto& [id, peer] : peers_) {
      const MonotonicTime last = std::max(peer.lastSeen_, peer.knownSince_);
      const bool mayRun = isMinority || now - last < kPeerGoneTimeout;
      if (mayRun && !peer.report_.isLeaving_) {
        state_.limitSharers_.push_back(id);
      }
    }
  }
  UpdateLimitParts(state_);
}

bool
ReportExchange::ReadsStore() const
{
  const bool isOld = !hasDigest_ || lacksRows_ ||
                     state_.loop_.GetClock().Now() - lastRows_ > kMaxDigestAge;
  return IsMesh() || isOld || isCollector_;
}

bool
ReportExchange::IsReporting(const Peer& aPeer) const
{
  return aPeer.lastDirectReport_ != MonotonicTime() &&
         state_.loop_.GetClock().Now() - aPeer.lastDirectReport_ <
           kCollectedPeerTimeout;
}

std::size_t
ReportExchange::ReportingCount() const
{
  return std::size_t(
    std::count_if(peers_.begin(), peers_.end(), [this](const auto& aEntry) {
      return IsReporting(aEntry.second);
    }));
}

bool
ReportExchange::IsIsolated() const
{
  if (IsMesh()) {
    return false;
  }
  const bool hasFreshDigest =
    hasDigest_ && state_.loop_.GetClock().Now() - lastDigest_ <= kMaxDigestAge;
  return !hasFreshDigest &&
         ReportingCount() < std::min(kMinReporting, peers_.size() / 2);
}

void
ReportExchange::UpdateReportsComplete()
{
  const bool isComplete =
    !IsIsolated() &&
    double(ReportingCount()) >= kCompleteFraction * double(LiveCount() - 1);
  if (!isComplete) {
    reportsCompleteSince_.reset();
  } else if (!reportsCompleteSince_.has_value()) {
    reportsCompleteSince_ = state_.loop_.GetClock().Now();
  }
}

Duration
ReportExchange::ReportsCompleteFor() const
{
  return reportsCompleteSince_.has_value()
           ? state_.loop_.GetClock().Now() - *reportsCompleteSince_
           : Duration(0);
}

std::size_t
ReportExchange::DutyRank() const
{
  if (IsIsolated()) {
    // The sums of usage and demand of an isolated instance would be wrong for a
    // while.
    return peers_.size();
  }
  if (!collectors_.empty()) {
    return std::size_t(
      std::find(collectors_.begin(), collectors_.end(), self_.instance_) -
      collectors_.begin());
  }
  std::size_t rank = 0;
  for (const auto& [id, peer] : peers_) {
    rank += IsLive(peer) && !peer.report_.isLeaving_ && id < self_.instance_;
  }
  return rank;
}

void
ReportExchange::AddServers(InstanceReport& aReport) const
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  AddLimits(state_, aReport.limits_);
  AddLeaving(state_, aReport.leaving_);
  for (const auto& [service, pool] : state_.pools_) {
    for (const auto& [id, view] : pool.servers_) {
      ServerUse use;
      use.server_ = id;
      use.running_ = view.running_;
      use.unreadTokens_ = ToCount(OwnUnreadTokens(view, now));
      if (view.load_.has_value() && now - view.load_->at_ < kMaxSlownessAge) {
        use.slownessPercent_ = ToCount(view.load_->slowness_ * 100);
        use.slownessAgeMs_ = ToCount(Milliseconds(now - view.load_->at_));
      }
      if (use.running_ > 0 || use.unreadTokens_ > 0 ||
          use.slownessPercent_ > 0) {
        aReport.servers_.push_back(use);
      }
    }
  }
}

void
ReportExchange::AddCounts(InstanceReport& aReport) const
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const SelfStatus status = status_();
  aReport.isReady_ = status.isReady_;
  aReport.isLeaving_ = status.isLeaving_;
  aReport.dutyEpoch_ = status.dutyEpoch_;
  if (state_.routes_ != nullptr) {
    aReport.deployment_ = state_.routes_->Declared().version_;
  }
  for (const auto& [service, demand] : state_.demand_) {
    aReport.demand_[service.Value()] = ToCount(demand.Rate(now));
  }
  for (const auto& [workspace, quota] : state_.quotas_) {
    if (quota.rate_ <= 0 && quota.used_ <= 0) {
      // Another instance told of the workspace; its limits are not known here.
      continue;
    }
    aReport.used_[workspace.Value()] = ToCount(quota.used_);
    const auto level = LevelForPeers(quota, now);
    if (IsMesh() && level.has_value()) {
      aReport.quotaLevels_[workspace.Value()] = ToCount(*level);
    }
  }
  const auto& own = state_.usage_.own_;
  std::uint64_t skipped =
    own.size() > kReportedWindows ? own.size() - kReportedWindows : 0;
  for (const auto& [window, counts] : own) {
    if (skipped > 0) {
      --skipped;
      continue;
    }
    aReport.begun_.push_back({ window, counts });
  }
  aReport.refused_ = state_.refused_;
}

BackendView*
ReportExchange::FindServer(const ServerId& aServer)
{
  for (auto& [service, pool] : state_.pools_) {
    const auto found = pool.servers_.find(aServer);
    if (found != pool.servers_.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

void
ReportExchange::ReplaceServerLoad(const InstanceReport& aOld,
                                  const InstanceReport& aNew,
                                  MonotonicTime aMeasuredAt)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  for (const ServerUse& use : aOld.servers_) {
    if (BackendView* view = FindServer(use.server_)) {
      view->peerRunning_ =
        std::max(0.0, view->peerRunning_ - double(use.running_));
      view->peerUnreadTokens_ =
        std::max(0.0, view->peerUnreadTokens_ - double(use.unreadTokens_));
    }
  }
  for (const ServerUse& use : aNew.servers_) {
    BackendView* view = FindServer(use.server_);
    if (view == nullptr) {
      continue;
    }
    view->peerRunning_ += double(use.running_);
    view->peerUnreadTokens_ += double(use.unreadTokens_);
    view->peerAt_ = aMeasuredAt;
    const MonotonicTime measuredAt =
      now - std::chrono::milliseconds(use.slownessAgeMs_);
    const bool isNewer =
      !view->load_.has_value() || view->load_->at_ < measuredAt;
    if (use.slownessPercent_ > 0 && isNewer) {
      ReportedLoad load;
      load.slowness_ = double(use.slownessPercent_) / 100;
      load.at_ = measuredAt;
      view->load_ = load;
    }
  }
}

void
ReportExchange::ApplyReport(const InstanceReport& aReport)
{
  const PeerIdentity& identity = aReport.identity_;
  if (identity.instance_ == self_.instance_) {
    return;
  }
  Peer& peer = peers_[identity.instance_];
  // A digest may have announced a new incarnation, whose reports count from 1
  // again.
  const bool isOld =
    peer.hasReport_ && (identity.incarnation_ < peer.identity_.incarnation_ ||
                        (identity.incarnation_ == peer.reportedIncarnation_ &&
                         aReport.sequence_ <= peer.report_.sequence_));
  // The counters of a new incarnation come with its first full report.
  const bool isUnknown =
    aReport.isLoadOnly_ &&
    (!peer.hasReport_ || peer.reportedIncarnation_ != identity.incarnation_);
  if (isOld || isUnknown) {
    return;
  }
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (!peer.hasReport_ || !IsLive(peer)) {
    LogLine line("instance_heard");
    line.Add("instance", identity.instance_.Value())
      .Add("incarnation", identity.incarnation_.Value());
    state_.log_.WriteImportant(line);
  }
  ApplyRelayedLimits(state_, aReport.limits_);
  ApplyRelayedLeaving(state_, aReport.leaving_);
  ApplyCrashes(state_, aReport.crashes_, aReport.fingerprints_);
  // Other instances get the load and use from the sums of a digest.
  const bool isCounted = IsMesh() || isCollector_;
  if (isCounted) {
    ReplaceServerLoad(peer.report_, aReport, now);
  }
  peer.lastSeen_ = now;
  if (aReport.isLoadOnly_) {
    if (IsMesh()) {
      RecordUse(peer, aReport);
    }
    peer.report_.servers_ = aReport.servers_;
    peer.report_.sequence_ = aReport.sequence_;
    return;
  }
  RecordUse(peer, aReport);
  peer.lastDirectReport_ = now;
  peer.reportedIncarnation_ = identity.incarnation_;
  peer.identity_ = identity;
  peer.report_ = aReport;
  peer.hasReport_ = true;
  peer.isFromDigest_ = false;
  if (!isCounted) {
    peer.report_.servers_.clear();
  }
  peer.wallOffset_ = aReport.sent_ - state_.loop_.GetClock().Wall();
  WindowCounts counts;
  for (const WindowUse& use : aReport.begun_) {
    counts[use.window_] = use.counts_;
  }
  MergePeerCounts(
    state_.usage_, identity.instance_, identity.incarnation_, counts);
  SetInstanceCount(state_, LiveCount());
}

bool
ReportExchange::IsLive(const Peer& aPeer) const
{
  return aPeer.hasReport_ &&
         state_.loop_.GetClock().Now() - aPeer.lastSeen_ <
           (IsMesh() ? kPeerTimeout : kCollectedPeerTimeout);
}

void
ReportExchange::DropSilent()
{
  for (auto& [id, peer] : peers_) {
    if (peer.hasReport_ && !IsLive(peer) && !peer.report_.servers_.empty()) {
      LogLine line("instance_silent");
      line.Add("instance", id.Value());
      state_.log_.WriteImportant(line);
      ReplaceServerLoad(peer.report_, {}, {});
      peer.report_.servers_.clear();
    }
  }
}

} // namespace sycamoreward::edge
