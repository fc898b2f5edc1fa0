#include "edge/ReportExchange.h"

#include "base/DurationUnits.h"
#include "edge/MessageCount.h"
#include "edge/ReportTimes.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Reading a long prompt takes an engine 200 to 300 ms, so that reports have to
// be younger to keep two instances from choosing the same engine.
constexpr Duration kReportInterval = std::chrono::milliseconds(150);
// A prompt of this many tokens keeps an engine busy for longer than a message
// between instances takes.
constexpr double kNotedTokens = 300;
// Prompts sent within this time are told with one message.
constexpr Duration kNoteDelay = std::chrono::milliseconds(12);
// Without a digest for this time an instance reads the store itself.
constexpr Duration kDigestAge = std::chrono::milliseconds(2800);
// An instance to which this many report is a collector to the others as well.
// The collectors report to each other, and to the holder of the duties, so that
// a few reports say nothing.
constexpr std::size_t kFewestReporting = 2 * kCollectors;
// Part of the live instances whose reports make a sum whole. Some have just
// started or are about to end.
constexpr double kGatheredPart = 0.9;
// An instance without a report for this time is not given to callers, and its
// load is not counted.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1200);
// Windows that a report carries: those of which the usage is still due.
constexpr std::uint64_t kReportedWindows = 4;
// Age above which a server's statement on its machine is not passed on.
constexpr Duration kSlownessAge = std::chrono::milliseconds(600);

} // namespace

ReportExchange::ReportExchange(EdgeState& aState,
                               PeerNetwork& aNetwork,
                               const PeerIdentity& aSelf,
                               std::function<SelfStatus()> aStatus)
  : state_(aState)
  , network_(aNetwork)
  , self_(aSelf)
  , status_(std::move(aStatus))
{
  network_.OnMessage<Reports>([this](const PeerIdentity& aFrom,
                                     const Message& aMessage,
                                     const PeerNetwork::Responder& aRespond) {
    const auto& reports = std::get<Reports>(aMessage);
    for (const InstanceReport& report : reports.reports_) {
      Enter(report);
    }
    if (reports.wantsDigest_) {
      aRespond(MakeDigest(aFrom.instance_, reports));
    }
  });
  network_.OnMessage<QuotaRequest>(
    [this](const PeerIdentity& /*aFrom*/,
           const Message& aMessage,
           const PeerNetwork::Responder& aRespond) {
      AnswerQuota(std::get<QuotaRequest>(aMessage), aRespond);
    });
  timer_ = state_.loop_.CallAfter(kReportInterval, [this] { Tick(); });
}

ReportExchange::~ReportExchange()
{
  state_.loop_.CancelTimer(timer_);
  state_.loop_.CancelTimer(soonTimer_);
}

void
ReportExchange::SetMembers(const std::vector<PeerIdentity>& aMembers)
{
  for (const PeerIdentity& member : aMembers) {
    if (member.instance_ == self_.instance_) {
      continue;
    }
    Peer& peer = peers_[member.instance_];
    if (peer.known_ == MonotonicTime()) {
      peer.known_ = state_.loop_.GetClock().Now();
    }
    if (!peer.hasReport_ || peer.identity_.incarnation_ < member.incarnation_) {
      peer.identity_ = member;
    }
  }
}

void
ReportExchange::Tick()
{
  DropSilent();
  UpdateCollectors();
  UpdateGathering();
  UpdateShare();
  Send(false);
  if (IsMesh() || isCollector_) {
    AskForRows();
  }
  timer_ = state_.loop_.CallAfter(
    IsMesh() ? kReportInterval : kCollectorInterval, [this] { Tick(); });
}

void
ReportExchange::NoteSent(double aTokens)
{
  if (aTokens < kNotedTokens || soonTimer_ != 0 || !IsMesh()) {
    return;
  }
  soonTimer_ = state_.loop_.CallAfter(kNoteDelay, [this] {
    soonTimer_ = 0;
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
  if (!aIsLoadOnly) {
    AddCounts(report);
  }
  return report;
}

void
ReportExchange::Send(bool aIsLoadOnly)
{
  if (peers_.empty()) {
    return;
  }
  Reports message;
  message.reports_.push_back(MakeReport(aIsLoadOnly));
  if (!IsMesh()) {
    SendToCollectors(message);
    return;
  }
  for (const auto& [id, peer] : peers_) {
    network_.Send(peer.identity_, message);
  }
}

void
ReportExchange::UpdateCollectors()
{
  std::vector<CollectorCandidate> candidates;
  candidates.push_back(
    { self_.instance_, self_.strength_, !status_().isLeaving_ });
  // Without word of the others all are taken to live, so that the instance
  // asks those that gather at the start of the whole system. Its own view would
  // make it a collector that nobody reports to.
  const bool isUninformed = IsUninformed();
  for (const auto& [id, peer] : peers_) {
    const bool hasAnswered =
      peer.unanswered_ == MonotonicTime() ||
      state_.loop_.GetClock().Now() - peer.unanswered_ >= kGoneAfter;
    const bool isLive = (IsHeard(peer) || (isUninformed && hasAnswered)) &&
                        !peer.report_.isLeaving_;
    candidates.push_back({ id, peer.identity_.strength_, isLive });
  }
  collectors_ = ChooseStrongest(candidates, kCollectors);
  placers_ = ChooseStrongest(candidates, kMaxPlacers);
  isCollector_ =
    std::find(collectors_.begin(), collectors_.end(), self_.instance_) !=
    collectors_.end();
  if (isCollector_ || IsMesh()) {
    // The reports themselves take the place of their sums.
    EnterServers(others_, {}, {});
    others_ = {};
  }
}

void
ReportExchange::UpdateShare()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const bool isAlone = IsUninformed();
  std::size_t live = 1;
  std::size_t silent = 0;
  for (const auto& [id, peer] : peers_) {
    const MonotonicTime last = std::max(peer.heard_, peer.known_);
    if (IsHeard(peer) && !isAlone) {
      ++live;
    } else if (now - last < kGoneAfter) {
      ++silent;
    }
  }
  // An instance that hears of few is likely the one that is cut off, so that
  // the silent ones go on however long it takes.
  if (live * 2 < peers_.size() + 1) {
    silent = peers_.size() + 1 - live;
  }
  const double share = double(live) / double(live + silent);
  for (auto& [workspace, quota] : state_.quotas_) {
    SetShare(quota, share, live, !IsMesh(), now);
  }
}

bool
ReportExchange::ReadsStore() const
{
  const bool isOld = !hasDigest_ || lacksRows_ ||
                     state_.loop_.GetClock().Now() - rowsHeard_ > kDigestAge;
  return IsMesh() || isOld || isCollector_;
}

bool
ReportExchange::IsReporting(const Peer& aPeer) const
{
  return aPeer.reported_ != MonotonicTime() &&
         state_.loop_.GetClock().Now() - aPeer.reported_ <
           kSilentAfterCollected;
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
ReportExchange::IsUninformed() const
{
  if (IsMesh()) {
    return false;
  }
  const bool hasFreshDigest =
    hasDigest_ && state_.loop_.GetClock().Now() - digestHeard_ <= kDigestAge;
  return !hasFreshDigest &&
         ReportingCount() < std::min(kFewestReporting, peers_.size() / 2);
}

void
ReportExchange::UpdateGathering()
{
  const bool isGathering =
    !IsUninformed() &&
    double(ReportingCount()) >= kGatheredPart * double(LiveCount() - 1);
  if (!isGathering) {
    gatheringSince_.reset();
  } else if (!gatheringSince_.has_value()) {
    gatheringSince_ = state_.loop_.GetClock().Now();
  }
}

Duration
ReportExchange::GatheredFor() const
{
  return gatheringSince_.has_value()
           ? state_.loop_.GetClock().Now() - *gatheringSince_
           : Duration(0);
}

std::size_t
ReportExchange::DutyRank() const
{
  if (IsUninformed()) {
    // Its sums of usage and demand would be wrong for a while.
    return peers_.size();
  }
  if (!collectors_.empty()) {
    return std::size_t(
      std::find(collectors_.begin(), collectors_.end(), self_.instance_) -
      collectors_.begin());
  }
  std::size_t rank = 0;
  for (const auto& [id, peer] : peers_) {
    rank += IsHeard(peer) && !peer.report_.isLeaving_ && id < self_.instance_;
  }
  return rank;
}

void
ReportExchange::AddServers(InstanceReport& aReport) const
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  for (const auto& [service, pool] : state_.pools_) {
    for (const auto& [id, view] : pool.servers_) {
      ServerUse use;
      use.server_ = id;
      use.running_ = view.running_;
      use.unreadTokens_ = ToCount(OwnUnreadTokens(view, now));
      if (view.load_.has_value() && now - view.load_->at_ < kSlownessAge) {
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
    aReport.used_[workspace.Value()] = ToCount(quota.used_);
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
ReportExchange::EnterServers(const InstanceReport& aOld,
                             const InstanceReport& aNew,
                             MonotonicTime aAt)
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
    view->peerAt_ = aAt;
    const MonotonicTime stated =
      now - std::chrono::milliseconds(use.slownessAgeMs_);
    const bool isNewer = !view->load_.has_value() || view->load_->at_ < stated;
    if (use.slownessPercent_ > 0 && isNewer) {
      ReportedLoad load;
      load.slowness_ = double(use.slownessPercent_) / 100;
      load.at_ = stated;
      view->load_ = load;
    }
  }
}

void
ReportExchange::Enter(const InstanceReport& aReport)
{
  const PeerIdentity& identity = aReport.identity_;
  if (identity.instance_ == self_.instance_) {
    return;
  }
  Peer& peer = peers_[identity.instance_];
  // A digest may have told of a new start whose reports count from 1 again.
  const bool isOld =
    peer.hasReport_ && (identity.incarnation_ < peer.identity_.incarnation_ ||
                        (identity.incarnation_ == peer.reportedStart_ &&
                         aReport.sequence_ <= peer.report_.sequence_));
  // The counters of a new start come with its first whole report.
  const bool isUnknown =
    aReport.isLoadOnly_ &&
    (!peer.hasReport_ || peer.identity_.incarnation_ != identity.incarnation_);
  if (isOld || isUnknown) {
    return;
  }
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (!peer.hasReport_ || !IsHeard(peer)) {
    LogLine line("instance_heard");
    line.Add("instance", identity.instance_.Value())
      .Add("incarnation", identity.incarnation_.Value());
    state_.log_.WriteImportant(line);
  }
  // Elsewhere the sums of a digest contain the load and the use.
  const bool isCounted = IsMesh() || isCollector_;
  if (isCounted) {
    EnterServers(peer.report_, aReport, now);
  }
  peer.heard_ = now;
  if (aReport.isLoadOnly_) {
    peer.report_.servers_ = aReport.servers_;
    peer.report_.sequence_ = aReport.sequence_;
    return;
  }
  EnterUse(peer, aReport);
  peer.reported_ = now;
  peer.reportedStart_ = identity.incarnation_;
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
  NotePeerCounts(
    state_.usage_, identity.instance_, identity.incarnation_, counts);
  SetInstanceCount(state_, LiveCount());
}

bool
ReportExchange::IsHeard(const Peer& aPeer) const
{
  return aPeer.hasReport_ &&
         state_.loop_.GetClock().Now() - aPeer.heard_ <
           (IsMesh() ? kSilentAfter : kSilentAfterCollected);
}

void
ReportExchange::DropSilent()
{
  for (auto& [id, peer] : peers_) {
    if (peer.hasReport_ && !IsHeard(peer) && !peer.report_.servers_.empty()) {
      LogLine line("instance_silent");
      line.Add("instance", id.Value());
      state_.log_.WriteImportant(line);
      EnterServers(peer.report_, {}, {});
      peer.report_.servers_.clear();
    }
  }
}

} // namespace sycamoreward::edge
