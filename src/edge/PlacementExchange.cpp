#include "edge/PlacementExchange.h"

#include "base/DurationUnits.h"
#include "edge/MessageCount.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Timeout after which the instance chooses a server itself. An answer takes a
// round trip between failure domains and a few milliseconds on a busy placer.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(60);
// A placer that did not answer is not asked again for this time.
constexpr Duration kPlacerBackoff = std::chrono::milliseconds(1500);
// Events are batched for this time. It is short against the 150 to 300 ms in
// which an engine reads a long prompt.
constexpr Duration kEventBatchDelay = std::chrono::milliseconds(25);
// A tracked request is dropped this long after it was placed: the instance that
// sent it has probably stopped without reporting the end.
constexpr Duration kMaxRequestAge = std::chrono::seconds(20);
constexpr Duration kSweepInterval = std::chrono::seconds(2);
// Interval at which the owned engines are recomputed. The list of engines
// changes rarely compared with the rate of requests.
constexpr Duration kMaxOwnedEnginesAge = std::chrono::milliseconds(500);
// Maximum number of servers with an idle connection that a request lists.
constexpr std::size_t kMaxIdleServers = 40;

PlacementRequest
MakeRequest(const PoolView& aPool, const PlacementQuery& aQuery)
{
  PlacementRequest request;
  request.service_ = aPool.service_;
  request.domain_ = aQuery.ownDomain_;
  request.promptTokens_ = ToCount(aQuery.promptTokens_);
  request.objectiveMs_ = ToCount(Milliseconds(aQuery.objective_));
  for (const PromptPart& part : aQuery.parts_) {
    request.parts_.push_back(part.id_);
    request.partTokens_.push_back(part.tokens_);
  }
  for (const ServerId& server : aQuery.tried_) {
    request.tried_.push_back(server.Value());
  }
  for (const auto& [id, view] : aPool.servers_) {
    if (view.hasIdleChannel_ && request.idle_.size() < kMaxIdleServers) {
      request.idle_.push_back(id.Value());
    }
  }
  return request;
}

PlacementQuery
MakeQuery(const PlacementRequest& aRequest)
{
  PlacementQuery query;
  query.ownDomain_ = aRequest.domain_;
  query.promptTokens_ = double(aRequest.promptTokens_);
  query.objective_ = FromMilliseconds(double(aRequest.objectiveMs_));
  const std::size_t count =
    std::min(aRequest.parts_.size(), aRequest.partTokens_.size());
  for (std::size_t index = 0; index < count; ++index) {
    query.parts_.push_back(
      { aRequest.parts_[index], std::uint32_t(aRequest.partTokens_[index]) });
  }
  for (const std::string& server : aRequest.tried_) {
    query.tried_.insert(ServerId(server));
  }
  return query;
}

} // namespace

PlacementExchange::PlacementExchange(EdgeState& aState, PeerNetwork& aNetwork)
  : state_(aState)
  , network_(aNetwork)
{
  network_.OnMessage<PlacementRequest>(
    [this](const PeerIdentity& /*aFrom*/,
           const Message& aMessage,
           const PeerNetwork::Responder& aRespond) {
      aRespond(Place(std::get<PlacementRequest>(aMessage)));
    });
  network_.OnMessage<PlacementUpdates>(
    [this](const PeerIdentity& /*aFrom*/,
           const Message& aMessage,
           const PeerNetwork::Responder& /*aRespond*/) {
      for (const PlacementUpdate& news :
           std::get<PlacementUpdates>(aMessage).updates_) {
        ApplyEvent(news);
      }
    });
  state_.ownsEngine_ = [this](const PoolView& aPool,
                              const ServerId& aServer) -> std::optional<bool> {
    if (states_.empty() || !aPool.isEngine_) {
      return std::nullopt;
    }
    return OwnsEngine(aPool, aServer);
  };
  sweepTimer_ =
    state_.loop_.CallAfter(kSweepInterval, [this] { EvictStaleRequests(); });
}

PlacementExchange::~PlacementExchange()
{
  state_.ownsEngine_ = nullptr;
  state_.loop_.CancelTimer(flushTimer_);
  state_.loop_.CancelTimer(sweepTimer_);
}

void
PlacementExchange::SetPlacers(const std::vector<PeerIdentity>& aPlacers)
{
  std::vector<PlacerState> states;
  isPlacer_ = false;
  for (const PeerIdentity& placer : aPlacers) {
    isPlacer_ = isPlacer_ || placer.instance_ == state_.self_;
    const auto known =
      std::find_if(states_.begin(), states_.end(), [&](const auto& aState) {
        return aState.id_ == placer.instance_;
      });
    states.push_back(known != states_.end()
                       ? *known
                       : PlacerState{ placer.instance_, 0, {}, {} });
  }
  placers_ = aPlacers;
  states_ = std::move(states);
}

void
PlacementExchange::RequestPlacement(
  const PoolView& aPool,
  const PlacementQuery& aQuery,
  std::function<void(std::optional<PlacerAnswer>)> aOnAnswer)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const std::size_t count = PlacerCount(states_.size(), aPool.servers_.size());
  const auto chosen =
    states_.empty() || !aPool.isEngine_
      ? std::nullopt
      : ChoosePlacer(states_, count, aQuery.parts_, now, state_.Draw());
  if (!chosen.has_value()) {
    aOnAnswer(std::nullopt);
    return;
  }
  const PeerIdentity placer = placers_[*chosen];
  PlacementRequest request = MakeRequest(aPool, aQuery);
  if (placer.instance_ == state_.self_) {
    HandleReply(placer.instance_, Place(request), aOnAnswer);
    return;
  }
  network_.Call(
    placer,
    std::move(request),
    kAnswerTimeout,
    [this, id = placer.instance_, aOnAnswer = std::move(aOnAnswer)](
      const PeerReply& aReply) {
      if (aReply.message_.has_value() &&
          std::holds_alternative<PlacementReply>(*aReply.message_)) {
        HandleReply(id, std::get<PlacementReply>(*aReply.message_), aOnAnswer);
        return;
      }
      for (PlacerState& state : states_) {
        if (state.id_ == id) {
          state.avoidUntil_ = state_.loop_.GetClock().Now() + kPlacerBackoff;
        }
      }
      aOnAnswer(std::nullopt);
    });
}

void
PlacementExchange::HandleReply(
  const InstanceId& aPlacer,
  const PlacementReply& aReply,
  const std::function<void(std::optional<PlacerAnswer>)>& aOnAnswer)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  for (PlacerState& state : states_) {
    if (state.id_ == aPlacer) {
      state.loadMs_ = double(aReply.loadMs_);
      state.loadReceived_ = now;
    }
  }
  if (aReply.server_.Value().empty()) {
    aOnAnswer(std::nullopt);
    return;
  }
  PlacerAnswer answer;
  answer.work_ = { aPlacer, aReply.work_ };
  Placement& placement = answer.placement_;
  placement.server_ = aReply.server_;
  placement.waitMs_ = double(aReply.waitMs_);
  placement.tokens_ = double(aReply.tokens_);
  placement.readStart_ = now + std::chrono::milliseconds(aReply.queueMs_);
  placement.readEnd_ =
    placement.readStart_ + std::chrono::milliseconds(aReply.readMs_);
  placement.unread_ = double(aReply.unreadTokens_);
  placement.running_ = double(aReply.running_);
  aOnAnswer(answer);
}

PlacementReply
PlacementExchange::Place(const PlacementRequest& aRequest)
{
  const auto found = state_.pools_.find(aRequest.service_);
  if (found == state_.pools_.end() || !isPlacer_) {
    return {};
  }
  PoolView& pool = found->second;
  UpdateOwnedEngines(pool);
  const MonotonicTime now = state_.loop_.GetClock().Now();
  PlacementQuery query = MakeQuery(aRequest);
  query.now_ = now;
  query.draw_ = state_.Draw();
  query.candidates_ = &ownedEngines_[pool.service_].servers_;
  query.shortPromptServers_ = &ownedEngines_[pool.service_].shortPromptServers_;
  double unread = 0;
  for (const ServerId& id : *query.candidates_) {
    const auto view = pool.servers_.find(id);
    if (view != pool.servers_.end()) {
      view->second.hasIdleChannel_ = false;
      unread += OwnUnreadTokens(view->second, now);
    }
  }
  for (const std::string& id : aRequest.idle_) {
    const auto view = pool.servers_.find(ServerId(id));
    if (view != pool.servers_.end()) {
      view->second.hasIdleChannel_ = true;
    }
  }
  const Placement placement = ChooseServer(pool, query);
  PlacementReply reply;
  reply.loadMs_ = ToCount(
    unread / double(std::max<std::size_t>(query.candidates_->size(), 1)) /
    std::max(pool.readRate_, 1.0));
  if (placement.server_.Value().empty()) {
    return reply;
  }
  BackendView& view = pool.servers_[placement.server_];
  reply.work_ = state_.nextWork_++;
  RecordSent(
    view,
    reply.work_,
    UnreadPrompt{ placement.tokens_, placement.readStart_, placement.readEnd_ },
    query.parts_);
  CountSent(view.limit_, now);
  trackedRequests_[reply.work_] = { pool.service_,
                                    placement.server_,
                                    view.server_.incarnation_,
                                    now,
                                    IsShortPrompt(query.promptTokens_,
                                                  pool.readRate_) };
  reply.server_ = placement.server_;
  reply.waitMs_ = ToCount(placement.waitMs_);
  reply.tokens_ = ToCount(placement.tokens_);
  reply.queueMs_ = ToCount(Milliseconds(placement.readStart_ - now));
  reply.readMs_ =
    ToCount(Milliseconds(placement.readEnd_ - placement.readStart_));
  reply.unreadTokens_ = ToCount(placement.unread_);
  reply.running_ = ToCount(placement.running_);
  return reply;
}

bool
PlacementExchange::OwnsEngine(const PoolView& aPool,
                              const ServerId& aServer) const
{
  const std::size_t count = PlacerCount(states_.size(), aPool.servers_.size());
  return states_[OwnerOf(aServer, states_, count)].id_ == state_.self_;
}

void
PlacementExchange::UpdateOwnedEngines(const PoolView& aPool)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  OwnedEngines& owned = ownedEngines_[aPool.service_];
  if (owned.updated_ != MonotonicTime() &&
      now - owned.updated_ < kMaxOwnedEnginesAge) {
    return;
  }
  owned.updated_ = now;
  owned.servers_.clear();
  for (const auto& [id, view] : aPool.servers_) {
    if (OwnsEngine(aPool, id)) {
      owned.servers_.insert(id);
    }
  }
  const auto running = std::count_if(
    trackedRequests_.begin(), trackedRequests_.end(), [&](const auto& aEntry) {
      return aEntry.second.isShort_ && aEntry.second.service_ == aPool.service_;
    });
  owned.shortPromptServers_ =
    ChooseShortPromptServers(aPool, owned.servers_, std::size_t(running));
}

void
PlacementExchange::ReportEvent(const PlacedWork& aWork,
                               PlacementEvent aEvent,
                               Duration aAfter,
                               const std::optional<ReportedLoad>& aLoad)
{
  PlacementUpdate news;
  news.work_ = aWork.work_;
  news.event_ = aEvent;
  news.afterMs_ = ToCount(Milliseconds(aAfter));
  news.slownessPercent_ =
    aLoad.has_value() ? ToCount(aLoad->slowness_ * 100) : 0;
  if (aWork.placer_ == state_.self_) {
    ApplyEvent(news);
    return;
  }
  pendingEvents_[aWork.placer_].push_back(news);
  if (flushTimer_ == 0) {
    flushTimer_ = state_.loop_.CallAfter(kEventBatchDelay, [this] {
      flushTimer_ = 0;
      Flush();
    });
  }
}

void
PlacementExchange::Flush()
{
  for (auto& entry : pendingEvents_) {
    const InstanceId& id = entry.first;
    const auto placer =
      std::find_if(placers_.begin(), placers_.end(), [&](const auto& aPlacer) {
        return aPlacer.instance_ == id;
      });
    if (placer != placers_.end()) {
      network_.Send(*placer, PlacementUpdates{ std::move(entry.second) });
    }
  }
  // Events for an instance that is no longer a placer are dropped.
  pendingEvents_.clear();
}

void
PlacementExchange::ApplyEvent(const PlacementUpdate& aNews)
{
  const auto found = trackedRequests_.find(aNews.work_);
  if (found == trackedRequests_.end()) {
    return;
  }
  const TrackedRequest work = found->second;
  if (aNews.event_ != PlacementEvent::FirstEvent) {
    trackedRequests_.erase(found);
  }
  BackendView* view =
    FindServer(state_, work.service_, work.server_, work.start_);
  if (view == nullptr) {
    return;
  }
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (aNews.slownessPercent_ > 0) {
    ReportedLoad load;
    load.slowness_ = double(aNews.slownessPercent_) / 100;
    load.at_ = now;
    view->load_ = load;
  }
  switch (aNews.event_) {
    case PlacementEvent::FirstEvent:
      RecordFirstEvent(state_.pools_[work.service_],
                       *view,
                       aNews.work_,
                       work.sent_,
                       work.sent_ + std::chrono::milliseconds(aNews.afterMs_));
      return;
    case PlacementEvent::NotSent:
      break;
    case PlacementEvent::Unreachable:
      view->avoidUntil_ = now + kUnreachableBackoff;
      RecordResult(*view, true, now);
      break;
    case PlacementEvent::Failed:
    case PlacementEvent::Ended:
      RecordResult(*view, aNews.event_ == PlacementEvent::Failed, now);
      break;
  }
  RecordReleased(*view, aNews.work_);
}

void
PlacementExchange::EvictStaleRequests()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  for (auto work = trackedRequests_.begin(); work != trackedRequests_.end();) {
    if (now - work->second.sent_ < kMaxRequestAge) {
      ++work;
      continue;
    }
    if (BackendView* view = FindServer(state_,
                                       work->second.service_,
                                       work->second.server_,
                                       work->second.start_)) {
      RecordReleased(*view, work->first);
    }
    work = trackedRequests_.erase(work);
  }
  sweepTimer_ =
    state_.loop_.CallAfter(kSweepInterval, [this] { EvictStaleRequests(); });
}

} // namespace sycamoreward::edge
