#include "edge/RateLimit.h"

#include "base/DurationUnits.h"
#include "routing/Rendezvous.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// A server is asked at least this often, because only an answer tells that its
// limit has been lifted.
constexpr double kMinRequestsPerSecond = 0.2;
// The platform counts in windows of 4 s and allows one and a half times the
// rate and five requests. All parts together keep half of that excess as their
// bursts; the rest is for changes of the instances that share a limit.
constexpr double kBurstSeconds = 1;
constexpr double kBurstRequests = 2.5;
// With smaller bursts much of a part is lost between two requests, and with
// fewer parts too few callers reach an instance that has one.
constexpr double kMinBurst = 1.5;
// The age of relayed news is too low by the time that the message takes. News
// must be this much later than an answer of one's own to count as later.
constexpr Duration kMaxRelayTime = std::chrono::milliseconds(50);
// Interval at which a limited server is asked whether its limit still holds, if
// its rate permits.
constexpr Duration kAskInterval = std::chrono::milliseconds(1500);
// More than two of the longest intervals between requests to a limited server.
constexpr Duration kMaxUnconfirmedTime = std::chrono::seconds(12);

double
AllowanceAt(const RateLimit& aLimit, MonotonicTime aNow)
{
  const double earned =
    aLimit.part_.rate_.Value() * Seconds(aNow - aLimit.allowanceAt_);
  return std::min(aLimit.allowance_ + earned, aLimit.part_.burst_);
}

// Records what an answer of aTime told. Returns whether the rate has changed.
bool
ChangeLimit(RateLimit& aLimit,
            const std::optional<RequestRate>& aRate,
            MonotonicTime aTime,
            MonotonicTime aNow)
{
  aLimit.toldAt_ = aTime;
  aLimit.confirmedAt_ = aTime;
  if (aLimit.rate_ == aRate) {
    return false;
  }
  if (!aLimit.rate_.has_value()) {
    // Requests that are on their way already use up the first ones.
    aLimit.part_ = {};
    aLimit.allowance_ = 0;
    aLimit.allowanceAt_ = aNow;
  }
  if (!aRate.has_value()) {
    aLimit.liftedAt_ = aNow;
  }
  aLimit.rate_ = aRate;
  return true;
}

} // namespace

bool
RecordLimit(RateLimit& aLimit,
            const std::optional<RequestRate>& aRate,
            MonotonicTime aNow)
{
  return ChangeLimit(aLimit, aRate, aNow, aNow);
}

bool
RecordRelayedLimit(RateLimit& aLimit,
                   const std::optional<RequestRate>& aRate,
                   MonotonicTime aTime,
                   MonotonicTime aNow)
{
  if (aLimit.rate_ == aRate) {
    aLimit.confirmedAt_ = std::max(aLimit.confirmedAt_, aTime);
    return false;
  }
  return aTime > aLimit.toldAt_ + kMaxRelayTime &&
         ChangeLimit(aLimit, aRate, aTime, aNow);
}

bool
LiftUnconfirmed(RateLimit& aLimit, MonotonicTime aNow)
{
  return aLimit.rate_.has_value() &&
         aNow - aLimit.confirmedAt_ > kMaxUnconfirmedTime &&
         ChangeLimit(aLimit, std::nullopt, aLimit.toldAt_, aNow);
}

void
SetPart(RateLimit& aLimit, const LimitPart& aPart, MonotonicTime aNow)
{
  aLimit.allowance_ = AllowanceAt(aLimit, aNow);
  aLimit.allowanceAt_ = aNow;
  aLimit.part_ = aPart;
}

RequestRate
UsableRate(RequestRate aRate)
{
  return RequestRate(std::max(aRate.Value(), kMinRequestsPerSecond));
}

LimitPart
EqualPart(RequestRate aRate, std::size_t aCount)
{
  const double rate = UsableRate(aRate).Value();
  return { RequestRate(rate / double(aCount)),
           (rate * kBurstSeconds + kBurstRequests) / double(aCount) };
}

LimitPart
PartOf(RequestRate aRate,
       const ServerId& aServer,
       const std::vector<InstanceId>& aInstances,
       const InstanceId& aSelf)
{
  if (aInstances.empty()) {
    return {};
  }
  const double bursts =
    UsableRate(aRate).Value() * kBurstSeconds + kBurstRequests;
  const std::size_t count =
    std::min(aInstances.size(), std::size_t(bursts / kMinBurst));
  const std::uint64_t key = RendezvousScore(aServer.Value(), 0);
  const std::uint64_t own = RendezvousScore(aSelf.Value(), key);
  const auto before =
    std::count_if(aInstances.begin(), aInstances.end(), [&](const auto& aId) {
      return aId != aSelf && RendezvousScore(aId.Value(), key) > own;
    });
  return std::size_t(before) < count ? EqualPart(aRate, count) : LimitPart{};
}

bool
MaySend(const RateLimit& aLimit, MonotonicTime aNow)
{
  return !aLimit.rate_.has_value() || AllowanceAt(aLimit, aNow) >= 1;
}

bool
IsDue(const RateLimit& aLimit, MonotonicTime aNow)
{
  return aLimit.rate_.has_value() && MaySend(aLimit, aNow) &&
         aNow - aLimit.confirmedAt_ > kAskInterval;
}

void
CountSent(RateLimit& aLimit, MonotonicTime aNow)
{
  if (aLimit.rate_.has_value()) {
    aLimit.allowance_ = AllowanceAt(aLimit, aNow) - 1;
    aLimit.allowanceAt_ = aNow;
  }
}

} // namespace sycamoreward::edge
