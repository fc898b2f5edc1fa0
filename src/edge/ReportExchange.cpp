#include "edge/ReportExchange.h"

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
// An instance without a report for this time is not given to callers, and its
// load is not counted.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1200);
// Windows that a report carries: those of which the usage is still due.
constexpr std::uint64_t kReportedWindows = 4;
// Age above which a server's statement on its machine is not passed on.
constexpr Duration kSlownessAge = std::chrono::milliseconds(600);

std::uint64_t
ToCount(double aValue)
{
  return aValue <= 0 ? 0 : std::uint64_t(aValue);
}

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
  for (const auto& [id, peer] : peers_) {
    // At the start nothing is heard yet, and all are taken to live.
    const bool isLive =
      (IsHeard(peer) || !hasDigest_) && !peer.report_.isLeaving_;
    candidates.push_back({ id, peer.identity_.strength_, isLive });
  }
  collectors_ = ChooseCollectors(candidates);
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
  const bool isAlone =
    !IsMesh() && !isCollector_ && now - digestHeard_ > kDigestAge;
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
  const bool isOld =
    !hasDigest_ || state_.loop_.GetClock().Now() - rowsHeard_ > kDigestAge;
  return IsMesh() || isOld || isCollector_;
}

std::size_t
ReportExchange::DutyRank() const
{
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
        use.slownessAgeMs_ =
          ToCount(double((now - view.load_->at_).count()) / 1000);
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
  const bool isOld =
    peer.hasReport_ && (identity.incarnation_ < peer.identity_.incarnation_ ||
                        (identity.incarnation_ == peer.identity_.incarnation_ &&
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
  peer.identity_ = identity;
  peer.report_ = aReport;
  peer.hasReport_ = true;
  peer.isFromDigest_ = false;
  if (!isCounted) {
    peer.report_.servers_.clear();
  }
  peer.wallOffset_ = aReport.sent_ - state_.loop_.GetClock().Wall();
  for (const auto& [workspace, used] : aReport.used_) {
    if (!isCounted) {
      break;
    }
    NotePeerUse(state_.quotas_[WorkspaceId(workspace)],
                identity.instance_,
                double(used),
                false,
                now);
  }
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

std::vector<KnownInstance>
ReportExchange::Instances() const
{
  const SelfStatus status = status_();
  std::vector<KnownInstance> instances;
  instances.push_back({ self_.instance_,
                        self_.failureDomain_,
                        self_.callerAddress_,
                        self_.strength_,
                        status.isReady_,
                        status.isLeaving_,
                        true });
  for (const auto& [id, peer] : peers_) {
    instances.push_back({ id,
                          peer.identity_.failureDomain_,
                          peer.identity_.callerAddress_,
                          peer.identity_.strength_,
                          peer.report_.isReady_,
                          peer.report_.isLeaving_,
                          IsHeard(peer) });
  }
  return instances;
}

std::size_t
ReportExchange::LiveCount() const
{
  std::size_t count = 1;
  for (const auto& [id, peer] : peers_) {
    count += IsHeard(peer) ? 1 : 0;
  }
  return count;
}

FencingToken
ReportExchange::PeerDutyEpoch() const
{
  FencingToken epoch;
  for (const auto& [id, peer] : peers_) {
    if (IsHeard(peer) && epoch < peer.report_.dutyEpoch_) {
      epoch = peer.report_.dutyEpoch_;
    }
  }
  return epoch;
}

double
ReportExchange::Demand(const ServiceName& aService) const
{
  double demand = 0;
  const auto own = state_.demand_.find(aService);
  if (own != state_.demand_.end()) {
    demand = own->second.Rate(state_.loop_.GetClock().Now());
  }
  const auto others = others_.demand_.find(aService.Value());
  if (others != others_.demand_.end() && !isCollector_) {
    return demand + double(others->second);
  }
  for (const auto& [id, peer] : peers_) {
    const auto found = peer.report_.demand_.find(aService.Value());
    if (IsHeard(peer) && found != peer.report_.demand_.end()) {
      demand += double(found->second);
    }
  }
  return demand;
}

double
ReportExchange::Refused() const
{
  auto refused = double(state_.refused_);
  for (const auto& [id, peer] : peers_) {
    refused += IsHeard(peer) ? double(peer.report_.refused_) : 0;
  }
  return refused;
}

Duration
ReportExchange::WallOffset() const
{
  std::vector<Duration> offsets{ Duration(0) };
  for (const auto& [id, peer] : peers_) {
    if (IsHeard(peer)) {
      offsets.push_back(peer.wallOffset_);
    }
  }
  std::sort(offsets.begin(), offsets.end());
  return offsets[offsets.size() / 2];
}

} // namespace sycamoreward::edge
