#include "edge/PoolView.h"

#include "base/DurationUnits.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward::edge {

namespace {

// Weights of a new observation in the moving averages.
constexpr double kFailureWeight = 0.25;
constexpr double kSlownessWeight = 0.3;
constexpr double kReadRateWeight = 0.05;
// The first estimate of the read rate counts like this many observations, so
// that observed values replace it within a second of traffic.
constexpr double kInitialReadRateCount = 2;
constexpr double kWorkWeight = 0.05;
// Half-lives of observations. Server outages last for seconds; with a shorter
// half-life, requests would be sent to a failed server again too soon.
constexpr Duration kFailureHalfLife = std::chrono::seconds(3);
constexpr Duration kSlownessHalfLife = std::chrono::seconds(2);
// Half-life of reported unread tokens: an engine reads a prompt in 50 to 300
// ms, so about half of the reported tokens are read in this time.
constexpr Duration kPeerHalfLife = std::chrono::milliseconds(200);
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 10;
// Maximum age of a slowness reported by a server. The reported values change
// several times per second.
constexpr Duration kMaxReportedSlownessAge = std::chrono::milliseconds(700);
// Prompts whose estimated reading time is shorter are not used to estimate the
// read rate: the network and the step in progress take as long as reading them.
constexpr double kReadRateMinReadMs = 25;
// The same if the prompt's estimated wait behind other prompts is longer than
// this fraction of its own reading time. The tokens of other instances' prompts
// are only known on average, and waiting behind them must not count as reading.
constexpr double kReadRateMaxQueueFraction = 0.5;
// Maximum factor between an observed read rate and the estimate. The number of
// cached tokens can be far off.
constexpr double kMaxReadRateFactor = 4;
// Maximum fraction of a prompt that counts as read before its first event has
// arrived, even if the event is late.
constexpr double kMaxReadFraction = 0.8;
// Fixed part of the time to the first event, for the connection, the engine's
// first step and the network.
constexpr double kFirstEventBaseMs = 15;

// Whether the server has reported its load so recently that its slowness holds.
bool
HasRecentLoad(const BackendView& aView, MonotonicTime aNow)
{
  return aView.load_.has_value() &&
         aNow - aView.load_->at_ < kMaxReportedSlownessAge;
}

// Updates the pool's read rate with a prompt whose first event arrived at aNow.
void
RecordReadRate(PoolView& aPool,
               const BackendView& aView,
               const UnreadPrompt& aPrompt,
               MonotonicTime aSent,
               MonotonicTime aNow)
{
  const double queue = Milliseconds(aPrompt.start_ - aSent);
  const double own = Milliseconds(aPrompt.end_ - aPrompt.start_);
  if (own < kReadRateMinReadMs || queue > own * kReadRateMaxQueueFraction) {
    return;
  }
  // An engine that shares its machine reads more slowly for a while. The pool's
  // rate is that of an undisturbed engine.
  const double slowness =
    HasRecentLoad(aView, aNow) ? aView.load_->slowness_ : 1;
  const double tokens = aPrompt.tokens_ * (1 + queue / own);
  const double rate =
    std::clamp(tokens * slowness /
                 std::max(Milliseconds(aNow - aSent) - kFirstEventBaseMs, 1.0),
               aPool.readRate_ / kMaxReadRateFactor,
               aPool.readRate_ * kMaxReadRateFactor);
  aPool.readRateCount_ += 1;
  const double weight = std::max(
    kReadRateWeight, 1 / (aPool.readRateCount_ + kInitialReadRateCount));
  aPool.readRate_ += weight * (rate - aPool.readRate_);
}

} // namespace

double
OwnUnreadTokens(const BackendView& aView, MonotonicTime aNow)
{
  double tokens = 0;
  const UnreadPrompt* next = nullptr;
  for (const auto& [work, prompt] : aView.unread_) {
    tokens += prompt.tokens_;
    if (next == nullptr || prompt.end_ < next->end_) {
      next = &prompt;
    }
  }
  if (next == nullptr) {
    return 0;
  }
  // Only the prompt that the engine reads now can be partly read. If it is
  // late, all prompts behind it are still waiting, so none of them counts as
  // read.
  const MonotonicTime start = std::max(next->start_, aView.firstEventAt_);
  const double span = Milliseconds(next->end_ - next->start_);
  const double read =
    span <= 0
      ? 0.0
      : std::clamp(Milliseconds(aNow - start) / span, 0.0, kMaxReadFraction);
  return tokens - next->tokens_ * read;
}

double
UnreadTokens(const BackendView& aView, double aMean, MonotonicTime aNow)
{
  const double reportWeight = DecayFactor(aNow - aView.peerAt_, kPeerHalfLife);
  return OwnUnreadTokens(aView, aNow) + aView.peerUnreadTokens_ * reportWeight +
         aMean * (1 - reportWeight);
}

double
MeanPeerUnread(const PoolView& aPool)
{
  double sum = 0;
  for (const auto& [id, view] : aPool.servers_) {
    sum += view.peerUnreadTokens_;
  }
  return aPool.servers_.empty() ? 0 : sum / double(aPool.servers_.size());
}

double
RunningRequests(const BackendView& aView)
{
  return aView.running_ + aView.peerRunning_;
}

double
FailureRate(const BackendView& aView, MonotonicTime aNow)
{
  return aView.failureRate_ *
         DecayFactor(aNow - aView.failureAt_, kFailureHalfLife);
}

double
Slowness(const BackendView& aView, MonotonicTime aNow)
{
  // A recent value reported by the server is exact; the observed value also
  // includes the queue at the server.
  if (HasRecentLoad(aView, aNow)) {
    return std::max(aView.load_->slowness_, kMinSlowness);
  }
  return 1 + (aView.slowness_ - 1) *
               DecayFactor(aNow - aView.slownessAt_, kSlownessHalfLife);
}

void
RecordSent(BackendView& aView,
           std::uint64_t aWork,
           const std::optional<UnreadPrompt>& aPrompt,
           const std::vector<PromptPart>& aParts)
{
  ++aView.running_;
  if (aPrompt.has_value()) {
    aView.unread_[aWork] = *aPrompt;
  }
  for (const PromptPart& part : aParts) {
    aView.parts_.Touch(part);
  }
}

void
RecordReleased(BackendView& aView, std::uint64_t aWork)
{
  aView.running_ -= aView.running_ > 0 ? 1 : 0;
  aView.unread_.erase(aWork);
}

void
RecordResult(BackendView& aView, bool aFailed, MonotonicTime aNow)
{
  const double rate = FailureRate(aView, aNow);
  aView.failureRate_ = rate + kFailureWeight * ((aFailed ? 1.0 : 0.0) - rate);
  aView.failureAt_ = aNow;
}

void
RecordFirstEvent(PoolView& aPool,
                 BackendView& aView,
                 std::uint64_t aWork,
                 MonotonicTime aSent,
                 MonotonicTime aNow)
{
  const auto found = aView.unread_.find(aWork);
  if (found == aView.unread_.end()) {
    return;
  }
  const UnreadPrompt prompt = found->second;
  aView.unread_.erase(found);
  aView.firstEventAt_ = aNow;
  const double expected = Milliseconds(prompt.end_ - aSent) + kFirstEventBaseMs;
  const double observed = Milliseconds(aNow - aSent);
  const double ratio =
    std::clamp(observed / expected, kMinSlowness, kMaxSlowness);
  const double decayed =
    1 + (aView.slowness_ - 1) *
          DecayFactor(aNow - aView.slownessAt_, kSlownessHalfLife);
  aView.slowness_ = decayed + kSlownessWeight * (ratio - decayed);
  aView.slownessAt_ = aNow;
  RecordReadRate(aPool, aView, prompt, aSent, aNow);
}

void
RecordServiceTime(PoolView& aPool,
                  BackendView& aView,
                  Duration aTime,
                  MonotonicTime aNow)
{
  const double observed = Milliseconds(aTime);
  const double ratio = std::clamp(
    observed / std::max(aPool.workMs_, 1.0), kMinSlowness, kMaxSlowness);
  const double decayed =
    1 + (aView.slowness_ - 1) *
          DecayFactor(aNow - aView.slownessAt_, kSlownessHalfLife);
  aView.slowness_ = decayed + kSlownessWeight * (ratio - decayed);
  aView.slownessAt_ = aNow;
  aPool.workMs_ += kWorkWeight * (observed - aPool.workMs_);
}

} // namespace sycamoreward::edge
