#include "edge/Placement.h"

#include "base/DurationUnits.h"
#include "routing/Rendezvous.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace sycamoreward::edge {

namespace {

// Fraction of a prompt part that the server with this rendezvous rank is
// expected not to have cached, when this instance has not sent the part there
// itself.
constexpr double kUncachedFraction[] = { 0.4, 0.8 };
// The same fraction for the shared first part of prompts on any other server.
// Few different first parts exist, so most servers have all of them.
constexpr double kUncachedFirstPartFraction = 0.5;
// Cost of a failed attempt in milliseconds; multiplied by the failure rate.
constexpr double kFailureCostMs = 1500;
// A server with a higher failure rate is used only when no other is available.
constexpr double kMaxFailureRate = 0.6;
// Cost of each running request: it makes the steps of the engine slightly
// longer, and a new prompt delays its tokens.
constexpr double kRunningCostMs = 0.6;
// Cost of each millisecond in which the engine reads parts of the prompt that
// it does not hold, beyond the wait itself. Reading keeps the engine from other
// prompts, so a session stays with the engines that hold its parts while their
// queues are moderately longer.
constexpr double kReadingCostFactor = 4;
// Fraction of the objective up to which a queue counts as moderate. Waiting
// beyond it costs as much as reading, because the answer could be late.
constexpr double kModerateWaitFraction = 0.25;
// Costs that differ by at most this much count as equal. Otherwise several
// instances with the same reports would choose the same server.
constexpr double kEqualCostMs = 6;
// Fraction of a server's connections that all instances together use.
constexpr double kConnectionFraction = 0.9;
// Time for the network and the engine's first step.
constexpr double kBaseMs = 15;
// Extra round-trip time to a server in another failure domain.
constexpr double kOtherDomainMs = 7;
// Cost of a new connection: a round trip and work on the server, and servers
// limit the total number of connections from all instances.
constexpr double kConnectMs = 25;
// Maximum reading time of a short prompt. Such a prompt is half of a usual
// chunk and adds less than one step to the pauses of other streams.
constexpr double kShortReadMs = 30;
// Cost of a long prompt on a server reserved for short prompts, and of a short
// prompt on any other server. Long prompts take two to eight times as long to
// read. A prompt uses the other group of servers when the queues of its own
// group are this much longer.
constexpr double kPromptKindMismatchMs = 250;
// Target fraction of used slots on the servers reserved for short prompts.
constexpr double kShortPromptFill = 0.5;
// Approximate time for which a stream occupies a slot.
constexpr double kStreamMs = 1000;

// Ranks the servers for the session by rendezvous hashing, best first from 0.
std::map<ServerId, std::size_t>
RankServers(const PoolView& aPool, std::uint64_t aSession)
{
  std::vector<std::pair<std::uint64_t, const ServerId*>> scores;
  for (const auto& [id, view] : aPool.servers_) {
    if (!view.server_.isDraining_) {
      scores.emplace_back(RendezvousScore(id.Value(), aSession), &id);
    }
  }
  std::sort(
    scores.begin(), scores.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  std::map<ServerId, std::size_t> ranks;
  for (std::size_t rank = 0; rank < scores.size(); ++rank) {
    ranks[*scores[rank].second] = rank;
  }
  return ranks;
}

std::uint32_t
ConnectionShare(const PoolView& aPool, std::size_t aInstances)
{
  const double share = aPool.maxConnections_ * kConnectionFraction /
                       double(std::max<std::size_t>(aInstances, 1));
  return std::max<std::uint32_t>(2, std::uint32_t(share));
}

bool
CanAccept(const PoolView& aPool,
          const BackendView& aView,
          const PlacementQuery& aQuery)
{
  const bool isCandidate = aQuery.candidates_ == nullptr ||
                           aQuery.candidates_->count(aView.server_.id_) != 0;
  return isCandidate && !aView.server_.isDraining_ &&
         aQuery.tried_.count(aView.server_.id_) == 0 &&
         MaySend(aView.limit_, aQuery.now_) &&
         aView.running_ < ConnectionShare(aPool, aQuery.instances_);
}

// Expected wait for a free slot, in milliseconds, when all slots are taken.
// aTimeMs is the time for which a request occupies a slot.
double
SlotWaitMs(const BackendView& aView, double aTimeMs)
{
  const double slots = std::max<std::uint32_t>(aView.server_.slots_, 1);
  const double excess = RunningRequests(aView) + 1 - slots;
  return excess <= 0 ? 0 : excess * aTimeMs / slots;
}

// Remaining extra delay after a cold start, in milliseconds.
double
ColdStartDelayMs(const BackendView& aView, MonotonicTime aNow)
{
  const Duration left =
    aView.server_.coldDuration_ - (aNow - aView.server_.listed_);
  return std::max(0.0, Milliseconds(left)) * 0.1;
}

Placement
Estimate(const PoolView& aPool,
         const BackendView& aView,
         const PlacementQuery& aQuery,
         double aMeanUnread,
         std::size_t aRank)
{
  Placement placement;
  placement.server_ = aView.server_.id_;
  placement.running_ = RunningRequests(aView);
  placement.failureRate_ = FailureRate(aView, aQuery.now_);
  const double slowness = Slowness(aView, aQuery.now_);
  double wait = kBaseMs;
  if (aView.server_.domain_ != aQuery.ownDomain_) {
    wait += kOtherDomainMs;
  }
  if (aPool.isEngine_) {
    placement.unread_ = UnreadTokens(aView, aMeanUnread, aQuery.now_);
    placement.tokens_ = UncachedTokens(aView, aQuery, aRank);
    const double perToken = slowness / std::max(aPool.readRate_, 1.0);
    const double queue = placement.unread_ * perToken;
    const double reading = placement.tokens_ * perToken;
    placement.readStart_ = aQuery.now_ + FromMilliseconds(queue);
    placement.readEnd_ = placement.readStart_ + FromMilliseconds(reading);
    wait += queue + reading + SlotWaitMs(aView, kStreamMs);
  } else {
    wait +=
      aPool.workMs_ * slowness + SlotWaitMs(aView, aPool.workMs_ * slowness);
    placement.readStart_ = aQuery.now_;
    placement.readEnd_ = aQuery.now_;
  }
  placement.waitMs_ = wait + ColdStartDelayMs(aView, aQuery.now_);
  return placement;
}

// Returns the cost of reading the prompt beyond the wait, or 0 if the objective
// is not known.
double
ReadingCost(const PlacementQuery& aQuery, const Placement& aPlacement)
{
  const double moderateMs =
    Milliseconds(aQuery.objective_) * kModerateWaitFraction;
  if (moderateMs <= 0) {
    return 0;
  }
  const double readMs =
    Milliseconds(aPlacement.readEnd_ - aPlacement.readStart_);
  return kReadingCostFactor *
         (readMs + std::max(0.0, aPlacement.waitMs_ - moderateMs));
}

double
Cost(const PoolView& aPool,
     const BackendView& aView,
     const PlacementQuery& aQuery,
     const Placement& aPlacement)
{
  double cost = aPlacement.waitMs_ + aPlacement.failureRate_ * kFailureCostMs;
  if (!aView.hasIdleChannel_) {
    cost += kConnectMs;
  }
  if (aPool.isEngine_) {
    cost += ReadingCost(aQuery, aPlacement);
    cost += aPlacement.running_ * kRunningCostMs;
  }
  if (aQuery.shortPromptServers_ != nullptr) {
    const bool isForShortPrompts =
      aQuery.shortPromptServers_->count(aView.server_.id_) != 0;
    cost +=
      isForShortPrompts == IsShortPrompt(aQuery.promptTokens_, aPool.readRate_)
        ? 0
        : kPromptKindMismatchMs;
  }
  return cost;
}

} // namespace

std::uint64_t
SessionPart(const std::vector<PromptPart>& aParts)
{
  // The last part is specific to the request; the one before it is shared.
  return aParts.size() < 2 ? 0 : aParts[aParts.size() - 2].id_;
}

double
UncachedTokens(const BackendView& aView,
               const PlacementQuery& aQuery,
               std::size_t aRank)
{
  double uncached = 0;
  double listed = 0;
  // A cached part is useful only if all parts before it are cached too.
  bool isCached = true;
  for (std::size_t index = 0; index < aQuery.parts_.size(); ++index) {
    const PromptPart& part = aQuery.parts_[index];
    listed += part.tokens_;
    isCached = isCached && aView.parts_.Has(part.id_);
    if (isCached) {
      continue;
    }
    const bool isLast = index + 1 == aQuery.parts_.size();
    double missing = 1;
    if (aQuery.candidates_ != nullptr) {
      uncached += part.tokens_;
      continue;
    }
    if (!isLast && aRank < std::size(kUncachedFraction)) {
      missing = kUncachedFraction[aRank];
    } else if (!isLast && index == 0) {
      missing = kUncachedFirstPartFraction;
    }
    uncached += missing * part.tokens_;
  }
  return uncached + std::max(0.0, aQuery.promptTokens_ - listed);
}

bool
IsShortPrompt(double aTokens, double aReadRate)
{
  return aTokens < kShortReadMs * aReadRate;
}

std::set<ServerId>
ChooseShortPromptServers(const PoolView& aPool,
                         const std::set<ServerId>& aServers,
                         std::size_t aRunning)
{
  std::vector<std::tuple<bool, std::uint64_t, const BackendView*>> order;
  for (const ServerId& id : aServers) {
    const auto found = aPool.servers_.find(id);
    if (found != aPool.servers_.end() && !found->second.server_.isDraining_) {
      order.emplace_back(found->second.server_.isReclaimable_,
                         RendezvousScore(id.Value(), 0),
                         &found->second);
    }
  }
  std::sort(order.begin(), order.end());
  std::set<ServerId> shortPromptServers;
  double slots = 0;
  for (const auto& [isReclaimable, score, view] : order) {
    if (slots * kShortPromptFill >= double(aRunning) ||
        shortPromptServers.size() * 2 >= order.size()) {
      break;
    }
    shortPromptServers.insert(view->server_.id_);
    slots += view->server_.slots_;
  }
  return shortPromptServers;
}

Placement
ChooseServer(const PoolView& aPool, const PlacementQuery& aQuery)
{
  const bool isOwner = aQuery.candidates_ != nullptr;
  const auto ranks = isOwner ? std::map<ServerId, std::size_t>()
                             : RankServers(aPool, SessionPart(aQuery.parts_));
  // Other instances rarely send requests to the servers that a placer owns.
  const double meanUnread = isOwner ? 0 : MeanPeerUnread(aPool);
  std::vector<std::pair<double, Placement>> candidates;
  // Failing servers are considered only when there is no other server.
  for (const bool allowFailing : { false, true }) {
    for (const auto& [id, view] : aPool.servers_) {
      const bool isFailing = view.avoidUntil_ > aQuery.now_ ||
                             FailureRate(view, aQuery.now_) > kMaxFailureRate;
      if (!CanAccept(aPool, view, aQuery) || (isFailing && !allowFailing)) {
        continue;
      }
      const auto rank = ranks.find(id);
      Placement placement =
        Estimate(aPool,
                 view,
                 aQuery,
                 meanUnread,
                 rank == ranks.end() ? aPool.servers_.size() : rank->second);
      if (IsDue(view.limit_, aQuery.now_) && !isFailing) {
        return placement;
      }
      candidates.emplace_back(Cost(aPool, view, aQuery, placement), placement);
    }
    if (!candidates.empty()) {
      break;
    }
  }
  if (candidates.empty()) {
    return {};
  }
  double best = std::numeric_limits<double>::max();
  for (const auto& [cost, placement] : candidates) {
    best = std::min(best, cost);
  }
  std::vector<const Placement*> equal;
  for (const auto& [cost, placement] : candidates) {
    if (cost <= best + kEqualCostMs) {
      equal.push_back(&placement);
    }
  }
  const auto index = std::size_t(aQuery.draw_ * double(equal.size()));
  return *equal[std::min(index, equal.size() - 1)];
}

} // namespace sycamoreward::edge
