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
// Interval of the reports to collectors. A digest costs an instance of a tenth
// of a core about a millisecond for a hundred servers.
constexpr Duration kCollectorInterval = std::chrono::milliseconds(1000);
// Reply time after which another collector is asked.
constexpr Duration kDigestLimit = std::chrono::milliseconds(900);
// Without a digest for this time an instance reads the store itself.
constexpr Duration kDigestAge = std::chrono::milliseconds(2800);
// An instance without a report for this time is not given to callers, and its
// load is not counted.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1200);
constexpr Duration kSilentAfterCollected = std::chrono::milliseconds(3500);
// Interval in which rows are asked for while the store is away.
constexpr Duration kRowsInterval = std::chrono::milliseconds(700);
// A silent instance is taken to be gone after this time.
constexpr Duration kGoneAfter = std::chrono::seconds(12);
constexpr std::size_t kServerValues = 4;
constexpr std::size_t kMemberValues = 3;
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
  for (auto& [workspace, allotment] : state_.allotments_) {
    SetShare(allotment, share, live, !IsMesh(), now);
  }
}

void
ReportExchange::AskForRows()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (!relay_.isStoreAway_ || !relay_.isStoreAway_() ||
      now - rowsHeard_ < kRowsInterval) {
    return;
  }
  std::vector<const Peer*> live;
  for (const auto& [id, peer] : peers_) {
    if (IsHeard(peer)) {
      live.push_back(&peer);
    }
  }
  if (live.empty()) {
    return;
  }
  rowsHeard_ = now;
  const auto index = std::size_t(state_.Draw() * double(live.size()));
  const PeerIdentity& peer = live[std::min(index, live.size() - 1)]->identity_;
  Reports message;
  message.wantsDigest_ = true;
  message.rowVersions_ = relay_.versions_();
  network_.Call(
    peer, std::move(message), kDigestLimit, [this](const PeerReply& aReply) {
      if (aReply.message_.has_value() &&
          std::holds_alternative<Digest>(*aReply.message_)) {
        relay_.enter_(std::get<Digest>(*aReply.message_));
      }
    });
}

void
ReportExchange::EnterRows(const InstanceId& aFrom, const Digest& aDigest)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (!relay_.enter_ || relay_.enter_(aDigest)) {
    rowsHeard_ = now;
  } else {
    withoutRows_[aFrom] = now;
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
ReportExchange::SendToCollectors(const Reports& aMessage)
{
  bool hasAsked = isCollector_;
  std::vector<InstanceId> targets = collectors_;
  // The holder of the duties needs the counts of all.
  for (const auto& [id, peer] : peers_) {
    const bool isHolder = IsHeard(peer) && peer.report_.dutyEpoch_.Value() != 0;
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
    const bool isPassedOver =
      lacking != withoutRows_.end() && !isLast &&
      state_.loop_.GetClock().Now() - lacking->second < kGoneAfter;
    if (hasAsked || isPassedOver) {
      network_.Send(found->second.identity_, aMessage);
    } else {
      hasAsked = true;
      AskForDigest(found->second.identity_, aMessage);
    }
  }
}

void
ReportExchange::AskForDigest(const PeerIdentity& aCollector, Reports aMessage)
{
  aMessage.wantsDigest_ = true;
  if (relay_.versions_) {
    aMessage.rowVersions_ = relay_.versions_();
  }
  network_.Call(aCollector,
                std::move(aMessage),
                kDigestLimit,
                [this, id = aCollector.instance_](const PeerReply& aReply) {
                  if (aReply.message_.has_value() &&
                      std::holds_alternative<Digest>(*aReply.message_)) {
                    EnterDigest(id, std::get<Digest>(*aReply.message_));
                    return;
                  }
                  // The next collector is asked: this one counts as silent for
                  // a while.
                  const auto found = peers_.find(id);
                  if (found != peers_.end()) {
                    found->second.heard_ =
                      state_.loop_.GetClock().Now() - kSilentAfterCollected;
                  }
                });
}

Digest
ReportExchange::MakeDigest(const InstanceId& aReceiver,
                           const Reports& aRequest) const
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
    for (const auto& [workspace, used] : aReport.used_) {
      digest.used_[workspace] += used;
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
  add(own, Duration(0));
  addMember(self_, own.isReady_, own.isLeaving_, own.dutyEpoch_);
  for (const auto& [id, peer] : peers_) {
    if (id == aReceiver || !peer.hasReport_ || peer.isFromDigest_) {
      continue;
    }
    if (!IsHeard(peer)) {
      // The sum of the use must not fall while an instance is silent.
      for (const auto& [workspace, used] : peer.report_.used_) {
        digest.used_[workspace] += used;
      }
      continue;
    }
    add(peer.report_, now - peer.heard_);
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
    relay_.collect_(aRequest.rowVersions_, digest);
  }
  return digest;
}

void
ReportExchange::EnterDigest(const InstanceId& aFrom, const Digest& aDigest)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  digestHeard_ = now;
  hasDigest_ = true;
  EnterDigestMembers(aDigest);
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
  // The reports behind the sums are half an interval old on average.
  EnterServers(others_, others, now - kCollectorInterval / 2);
  others_ = std::move(others);
  for (const auto& [workspace, used] : others_.used_) {
    // All others together count as one peer.
    NotePeerUse(state_.allotments_[WorkspaceId(workspace)],
                InstanceId("others"),
                double(used),
                true,
                now);
  }
  EnterRows(aFrom, aDigest);
  SetInstanceCount(state_, LiveCount());
}

void
ReportExchange::EnterDigestMembers(const Digest& aDigest)
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
    if (!peer.isFromDigest_) {
      EnterServers(peer.report_, {}, {});
      peer.report_.servers_.clear();
    }
    const std::uint64_t* values = &aDigest.memberValues_[index * kMemberValues];
    peer.identity_.incarnation_ = Incarnation(values[0]);
    peer.report_.isReady_ = (values[1] & 1) != 0;
    peer.report_.isLeaving_ = (values[1] & 2) != 0;
    peer.report_.dutyEpoch_ = FencingToken(values[2]);
    peer.hasReport_ = true;
    peer.isFromDigest_ = true;
    peer.heard_ = now;
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
    NotePeerUse(state_.allotments_[WorkspaceId(workspace)],
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
