#include "edge/ServerLimits.h"

#include "base/DurationUnits.h"
#include "edge/MessageCount.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Time for which a lifted limit is reported. Each instance reports several
// times in it, also to collectors.
constexpr Duration kLiftedReportTime = std::chrono::seconds(4);
// Bounds of the time after which a refused caller may retry. Limits last for
// seconds, and a caller that waits longer than that is better served elsewhere.
constexpr double kMinRetrySeconds = 0.4;
constexpr double kMaxRetrySeconds = 5;
constexpr double kMilli = 1000;
// Requests per second above which a limit has no effect.
constexpr double kMaxRate = 1e6;

void
UpdatePart(EdgeState& aState, const PoolView& aPool, BackendView& aView)
{
  if (!aView.limit_.rate_.has_value()) {
    return;
  }
  const RequestRate rate = *aView.limit_.rate_;
  const std::optional<bool> isOwner =
    aState.ownsEngine_ ? aState.ownsEngine_(aPool, aView.server_.id_)
                       : std::nullopt;
  LimitPart part;
  if (!isOwner.has_value()) {
    part = PartOf(rate, aView.server_.id_, aState.limitSharers_, aState.self_);
  } else if (*isOwner) {
    part = EqualPart(rate, 1);
  }
  SetPart(aView.limit_, part, aState.loop_.GetClock().Now());
}

// Rates are exchanged in requests per thousand seconds, so all instances keep
// them with this precision.
std::uint64_t
ToMilliRate(RequestRate aRate)
{
  return ToCount(std::min(aRate.Value(), kMaxRate) * kMilli + 0.5);
}

RequestRate
FromMilliRate(std::uint64_t aMilliRate)
{
  return RequestRate(double(aMilliRate) / kMilli);
}

// Follows up on a rate that has changed.
void
OnLimitChanged(EdgeState& aState, const PoolView& aPool, BackendView& aView)
{
  UpdatePart(aState, aPool, aView);
  const RateLimit& limit = aView.limit_;
  const MonotonicTime now = aState.loop_.GetClock().Now();
  LogLine line(limit.rate_.has_value() ? "server_limited"
                                       : "server_limit_lifted");
  line.Add("server", aView.server_.id_.Value())
    .Add("ratePerSecond", limit.rate_.value_or(RequestRate(0)).Value())
    .Add("partPerSecond", limit.part_.rate_.Value())
    .Add("instances", std::uint64_t(aState.limitSharers_.size()))
    .Add("toldAgeMs", Milliseconds(now - limit.toldAt_));
  aState.log_.WriteImportant(line);
  if (aState.reportSoon_) {
    aState.reportSoon_();
  }
}

} // namespace

void
ApplyAnsweredLimit(EdgeState& aState,
                   const PoolView& aPool,
                   BackendView& aView,
                   const std::optional<RequestRate>& aRate)
{
  std::optional<RequestRate> rate;
  if (aRate.has_value()) {
    rate = FromMilliRate(ToMilliRate(*aRate));
  }
  if (RecordLimit(aView.limit_, rate, aState.loop_.GetClock().Now())) {
    OnLimitChanged(aState, aPool, aView);
  }
}

void
UpdateLimitParts(EdgeState& aState)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  for (auto& [service, pool] : aState.pools_) {
    for (auto& [id, view] : pool.servers_) {
      if (LiftUnconfirmed(view.limit_, now)) {
        OnLimitChanged(aState, pool, view);
      } else {
        UpdatePart(aState, pool, view);
      }
    }
  }
}

void
AddLimits(const EdgeState& aState, std::vector<ServerLimit>& aLimits)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  for (const auto& [service, pool] : aState.pools_) {
    for (const auto& [id, view] : pool.servers_) {
      const RateLimit& limit = view.limit_;
      const bool isLifted = limit.liftedAt_ != MonotonicTime() &&
                            now - limit.liftedAt_ < kLiftedReportTime;
      if (!limit.rate_.has_value() && !isLifted) {
        continue;
      }
      ServerLimit news;
      news.server_ = id;
      news.isLimited_ = limit.rate_.has_value();
      news.milliRate_ = ToMilliRate(limit.rate_.value_or(RequestRate(0)));
      const MonotonicTime told =
        news.isLimited_ ? limit.confirmedAt_ : limit.toldAt_;
      news.ageMs_ = ToCount(Milliseconds(now - told));
      aLimits.push_back(news);
    }
  }
}

void
ApplyRelayedLimits(EdgeState& aState, const std::vector<ServerLimit>& aLimits)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  for (const ServerLimit& news : aLimits) {
    std::optional<RequestRate> rate;
    if (news.isLimited_) {
      rate = FromMilliRate(news.milliRate_);
    }
    const MonotonicTime time = now - std::chrono::milliseconds(news.ageMs_);
    for (auto& [service, pool] : aState.pools_) {
      const auto found = pool.servers_.find(news.server_);
      if (found != pool.servers_.end() &&
          RecordRelayedLimit(found->second.limit_, rate, time, now)) {
        OnLimitChanged(aState, pool, found->second);
      }
    }
  }
}

std::optional<Duration>
LimitedServersWait(const PoolView& aPool, double aDraw)
{
  double rate = 0;
  bool isLimited = false;
  for (const auto& [id, view] : aPool.servers_) {
    if (view.limit_.rate_.has_value() && !view.server_.isDraining_) {
      isLimited = true;
      rate += UsableRate(*view.limit_.rate_).Value();
    }
  }
  if (!isLimited) {
    return std::nullopt;
  }
  const double seconds =
    std::clamp(1 / rate, kMinRetrySeconds, kMaxRetrySeconds);
  return FromMilliseconds(seconds * (1 + aDraw) * kMilli);
}

} // namespace sycamoreward::edge
