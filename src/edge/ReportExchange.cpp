#include "edge/ReportExchange.h"

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
// With more instances than this, prompts are told with the next report only.
constexpr std::size_t kMostNotedPeers = 10;
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
  network_.OnMessage<Reports>([this](const PeerIdentity& /*aFrom*/,
                                     const Message& aMessage,
                                     const PeerNetwork::Responder&) {
    for (const InstanceReport& report :
         std::get<Reports>(aMessage).reports_) {
      Enter(report);
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
    if (!peer.hasReport_ ||
        peer.identity_.incarnation_ < member.incarnation_) {
      peer.identity_ = member;
    }
  }
}

void
ReportExchange::Tick()
{
  DropSilent();
  Send(false);
  timer_ = state_.loop_.CallAfter(kReportInterval, [this] { Tick(); });
}

void
ReportExchange::NoteSent(double aTokens)
{
  if (aTokens < kNotedTokens || soonTimer_ != 0 ||
      peers_.size() > kMostNotedPeers) {
    return;
  }
  soonTimer_ = state_.loop_.CallAfter(kNoteDelay, [this] {
    soonTimer_ = 0;
    Send(true);
  });
}

void
ReportExchange::Send(bool aIsLoadOnly)
{
  if (peers_.empty()) {
    return;
  }
  InstanceReport report;
  report.identity_ = self_;
  report.sequence_ = ++sequence_;
  report.isLoadOnly_ = aIsLoadOnly;
  report.sent_ = state_.loop_.GetClock().Wall();
  AddServers(report);
  if (!aIsLoadOnly) {
    AddCounts(report);
  }
  Reports message;
  message.reports_.push_back(std::move(report));
  for (const auto& [id, peer] : peers_) {
    network_.Send(peer.identity_, message);
  }
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
  for (const auto& [workspace, allotment] : state_.allotments_) {
    aReport.used_[workspace.Value()] = ToCount(allotment.used_);
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
                             const InstanceReport& aNew)
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
    const MonotonicTime stated =
      now - std::chrono::milliseconds(use.slownessAgeMs_);
    const bool isNewer =
      !view->load_.has_value() || view->load_->at_ < stated;
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
    peer.hasReport_ &&
    (identity.incarnation_ < peer.identity_.incarnation_ ||
     (identity.incarnation_ == peer.identity_.incarnation_ &&
      aReport.sequence_ <= peer.report_.sequence_));
  // The counters of a new start come with its first whole report.
  const bool isUnknown =
    aReport.isLoadOnly_ && (!peer.hasReport_ || peer.identity_.incarnation_ !=
                                                  identity.incarnation_);
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
  EnterServers(peer.report_, aReport);
  peer.heard_ = now;
  if (aReport.isLoadOnly_) {
    peer.report_.servers_ = aReport.servers_;
    peer.report_.sequence_ = aReport.sequence_;
    return;
  }
  peer.identity_ = identity;
  peer.report_ = aReport;
  peer.hasReport_ = true;
  peer.wallOffset_ = aReport.sent_ - state_.loop_.GetClock().Wall();
  for (const auto& [workspace, used] : aReport.used_) {
    NotePeerUse(state_.allotments_[WorkspaceId(workspace)],
                identity.instance_,
                double(used),
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
         state_.loop_.GetClock().Now() - aPeer.heard_ < kSilentAfter;
}

void
ReportExchange::DropSilent()
{
  for (auto& [id, peer] : peers_) {
    if (peer.hasReport_ && !IsHeard(peer) && !peer.report_.servers_.empty()) {
      LogLine line("instance_silent");
      line.Add("instance", id.Value());
      state_.log_.WriteImportant(line);
      EnterServers(peer.report_, {});
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
                        status.isReady_,
                        status.isLeaving_,
                        true });
  for (const auto& [id, peer] : peers_) {
    instances.push_back({ id,
                          peer.identity_.failureDomain_,
                          peer.identity_.callerAddress_,
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

bool
ReportExchange::IsLive(const InstanceId& aInstance,
                       Incarnation aIncarnation) const
{
  const auto found = peers_.find(aInstance);
  return found != peers_.end() && IsHeard(found->second) &&
         !found->second.report_.isLeaving_ &&
         found->second.identity_.incarnation_ == aIncarnation;
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
